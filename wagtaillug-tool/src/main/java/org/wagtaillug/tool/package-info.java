/**
 * The operators' command-line tool {@code wagtaillugctl}: parses the arguments, calls the administration interface of the
 * given nodes and prints the result. It reports an outcome only if a node has confirmed it.
 */
package org.wagtaillug.tool;
