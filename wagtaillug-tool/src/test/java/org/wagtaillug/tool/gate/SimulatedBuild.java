package org.wagtaillug.tool.gate;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A project directory with the real {@code ./verify}, two modules with sources and generated reports, and a fake Maven. */
final class SimulatedBuild {
    private static final long VERDICT_SECONDS = 30;
    private static final Path REAL_ROOT = Path.of("..");
    private static final String POM = """
            <project>
              <modules>
                <module>wagtaillug-core</module>
                <module>platform</module>
              </modules>
              <profiles>
                <profile>
                  <modules>
                    <module>wagtaillug-benchmarks</module>
                  </modules>
                </profile>
              </profiles>
            </project>
            """;

    private final Path root;
    private final Map<String, String> cases = new LinkedHashMap<>();
    private final Map<String, String> textReports = new LinkedHashMap<>();
    private int mavenStatus;
    private String knownRed = "# one line each\n";

    private SimulatedBuild(Path root) {
        this.root = root;
    }

    /** A build whose tests all pass: a.FirstTest and a.SecondTest in core, b.ThirdTest in platform. */
    static SimulatedBuild passing(Path root) throws IOException {
        SimulatedBuild build = new SimulatedBuild(root);
        build.testClass("wagtaillug-core", "a.FirstTest")
                .testClass("wagtaillug-core", "a.SecondTest")
                .testClass("platform", "b.ThirdTest");
        build.source("wagtaillug-core", "a.TestWorld", "class TestWorld {}");
        build.source("wagtaillug-benchmarks", "c.MeasuredTest", "import org.junit.jupiter.api.Test;");
        build.withReport("a.FirstTest", passed("a.FirstTest", "one"));
        build.withReport("a.SecondTest", passed("a.SecondTest", "two"));
        return build.withReport("b.ThirdTest", passed("b.ThirdTest", "three"));
    }

    static String passed(String type, String name) {
        return "  <testcase name=\"" + name + "\" classname=\"" + type + "\" time=\"0.001\"/>\n";
    }

    static String skipped(String type, String name) {
        return "  <testcase name=\"" + name + "\" classname=\"" + type
                + "\" time=\"0.0\">\n    <skipped message=\"off\"/>\n" + "  </testcase>\n";
    }

    static String failed(String type, String name) {
        return failed(type, name, "failure", "org.opentest4j.AssertionFailedError");
    }

    static String failed(String type, String name, String kind, String text) {
        return "  <testcase name=\"" + name + "\" classname=\"" + type + "\" time=\"0.001\">\n    <" + kind
                + " message=\"no\" type=\"x.Y\"><![CDATA[" + text + "\n]]></" + kind + ">\n  </testcase>\n";
    }

    private SimulatedBuild testClass(String module, String type) throws IOException {
        return source(module, type, "import org.junit.jupiter.api.Test;");
    }

    SimulatedBuild source(String module, String type, String text) throws IOException {
        Path file = root.resolve(module).resolve("src/test/java").resolve(type.replace('.', '/') + ".java");
        Files.createDirectories(file.getParent());
        Files.writeString(file, text + "\n");
        return this;
    }

    /** Replaces the report of class {@code type} by one with the given test cases. */
    SimulatedBuild withReport(String type, String... testCases) {
        cases.put(type, String.join("", testCases));
        return this;
    }

    SimulatedBuild withoutReport(String type) {
        cases.remove(type);
        return this;
    }

    /** Replaces the text report of class {@code type}, which otherwise matches its XML report. */
    SimulatedBuild withTextReport(String type, String text) {
        textReports.put(type, text);
        return this;
    }

    SimulatedBuild withKnownRed(String... lines) {
        knownRed += String.join("\n", lines) + "\n";
        return this;
    }

    SimulatedBuild withMavenStatus(int status) {
        mavenStatus = status;
        return this;
    }

    Verdict verify() throws IOException, InterruptedException {
        Files.writeString(root.resolve("pom.xml"), POM);
        Files.writeString(root.resolve("KNOWN-RED.txt"), knownRed);
        for (Map.Entry<String, String> report : cases.entrySet()) {
            write(report.getKey(), report.getValue());
        }
        copy("verify");
        copy("bin/find-jdk");
        if (Files.exists(REAL_ROOT.resolve("bin/judge-reports"))) {
            copy("bin/judge-reports");
        }
        Path maven = root.resolve("stand-in/mvn");
        Files.createDirectories(maven.getParent());
        Files.writeString(maven, "#!/bin/sh\necho \"Maven was asked: $*\"\nexit " + mavenStatus + "\n");
        if (!maven.toFile().setExecutable(true)) {
            throw new IOException(maven + " cannot be made executable");
        }
        return start(maven.getParent());
    }

    private Verdict start(Path mavenDirectory) throws IOException, InterruptedException {
        Path output = root.resolve("output");
        ProcessBuilder builder = new ProcessBuilder(
                        List.of("sh", root.resolve("verify").toString()))
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
        builder.environment().compute("PATH", (name, path) -> mavenDirectory + ":" + path);
        Process process = builder.start();
        if (!process.waitFor(VERDICT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new IOException("no verdict within " + VERDICT_SECONDS + " s");
        }
        return new Verdict(process.exitValue(), Files.readString(output));
    }

    private void copy(String file) throws IOException {
        Path copy = root.resolve(file);
        Files.createDirectories(copy.getParent());
        Files.copy(
                REAL_ROOT.resolve(file), copy, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.COPY_ATTRIBUTES);
    }

    private void write(String type, String testCases) throws IOException {
        String module = type.startsWith("b.") ? "platform" : "wagtaillug-core";
        Path directory = root.resolve(module).resolve("target/surefire-reports");
        Files.createDirectories(directory);
        int failures = testCases.split("<failure ", -1).length - 1;
        int errors = testCases.split("<error ", -1).length - 1;
        String end = testCases.endsWith("\n") ? "</testsuite>" : "";
        Files.writeString(
                directory.resolve("TEST-" + type + ".xml"),
                "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite version=\"3.0.2\" name=\"" + type
                        + "\" time=\"0.1\" tests=\"1\" errors=\"" + errors + "\" skipped=\"0\" failures=\"" + failures
                        + "\">\n  <properties>\n    <property name=\"user.dir\" value=\"/x\"/>\n  </properties>\n"
                        + testCases + end);
        Files.writeString(
                directory.resolve(type + ".txt"), textReports.getOrDefault(type, textReport(type, testCases)));
    }

    /** The text report of Surefire, which contains only the failed tests. */
    private static String textReport(String type, String testCases) {
        StringBuilder text = new StringBuilder("Test set: " + type + "\n");
        for (String testCase : testCases.split("  <testcase name=\"")) {
            if (testCase.contains("<failure ") || testCase.contains("<error ")) {
                String name = testCase.substring(0, testCase.indexOf('"'));
                String marker = testCase.contains("<error ") ? "ERROR" : "FAILURE";
                text.append(type).append(name.isEmpty() ? "" : "." + name);
                text.append(" -- Time elapsed: 0.001 s <<< ").append(marker).append("!\n");
            }
        }
        return text.toString();
    }

    /** The exit status and output of {@code ./verify}. */
    record Verdict(int status, String output) {
        boolean green() {
            return status == 0;
        }

        String lastLine() {
            return output.lines().reduce("", (first, second) -> second);
        }
    }
}
