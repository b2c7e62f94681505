#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/bin/find-jdk"
mkdir -p "$root/target/review"
"$JAVA_HOME/bin/javac" -d "$root/target/review" "$root"/review/standin/*.java
