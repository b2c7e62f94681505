package org.wagtaillug.tool.gate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.tool.gate.SimulatedBuild.failed;
import static org.wagtaillug.tool.gate.SimulatedBuild.passed;
import static org.wagtaillug.tool.gate.SimulatedBuild.skipped;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.tool.gate.SimulatedBuild.Verdict;

/** Tests the verdict of {@code ./verify} on simulated builds. */
class GateTest {
    private static final String ENTRY = ", ./verify, any seed: the answer came late, #12";

    private SimulatedBuild build;

    @BeforeEach
    void prepare(@TempDir Path root) throws IOException {
        build = SimulatedBuild.passing(root);
    }

    private SimulatedBuild withKnownFailure() {
        return build.withReport("a.SecondTest", failed("a.SecondTest", "two")).withKnownRed("a.SecondTest.two" + ENTRY);
    }

    @Test
    void allPassedAndNothingListedIsGreen() throws Exception {
        Verdict verdict = build.verify();

        assertThat(verdict.green()).as(verdict.output()).isTrue();
        assertThat(verdict.output()).contains("Maven was asked: -B -ntp clean package");
        assertThat(verdict.lastLine())
                .isEqualTo("Tests: 3 passed, 0 failed and not listed, 0 failed as listed, 0 skipped;"
                        + " 0 listed in KNOWN-RED.txt; green.");
    }

    @Test
    void aListedFailureAloneIsGreenAndPrinted() throws Exception {
        Verdict verdict = withKnownFailure().verify();

        assertThat(verdict.green()).as(verdict.output()).isTrue();
        assertThat(verdict.output()).contains("a.SecondTest.two" + ENTRY);
        assertThat(verdict.lastLine()).contains("2 passed, 0 failed and not listed, 1 failed as listed", "1 listed in");
    }

    /**
     * Guards against missing failures of modules whose names do not start with the product's name, such as
     * {@code platform}: while the list had entries, Maven continued after failures and only the reports of modules with that
     * prefix were checked, so the build passed without a message.
     */
    @Test
    void aFailureInThePlatformModuleIsRed() throws Exception {
        Verdict verdict = withKnownFailure()
                .withReport("b.ThirdTest", failed("b.ThirdTest", "three"))
                .verify();

        assertThat(verdict.green()).as(verdict.output()).isFalse();
        assertThat(verdict.output()).containsOnlyOnce("b.ThirdTest.three");
        assertThat(verdict.lastLine()).contains("1 passed, 1 failed and not listed, 1 failed as listed");
    }

    /** Maven does not stop at failures even if nothing is listed: in both cases the reports decide. */
    @ParameterizedTest
    @ValueSource(strings = {"failure", "error"})
    void aFailureIsRedWithNothingListed(String kind) throws Exception {
        Verdict verdict = build.withReport("a.FirstTest", failed("a.FirstTest", "one", kind, "x"))
                .verify();

        assertThat(verdict.green()).as(verdict.output()).isFalse();
        assertThat(verdict.output()).contains("a.FirstTest.one");
        assertThat(verdict.lastLine()).contains("1 failed and not listed");
    }

    /**
     * Guards against test classes that did not run, because of the settings of a machine, or whose reports were lost: when
     * only the existing reports were searched for failures, a missing report counted as no failure.
     */
    @ParameterizedTest
    @CsvSource({"a.FirstTest, true", "a.FirstTest, false", "b.ThirdTest, true", "b.ThirdTest, false"})
    void aTestClassWithoutReportIsRed(String type, boolean listed) throws Exception {
        Verdict verdict =
                (listed ? withKnownFailure() : build).withoutReport(type).verify();

        assertThat(verdict.green()).as(verdict.output()).isFalse();
        assertThat(verdict.output()).contains(type);
    }

    /**
     * Guards against truncated reports, for example when the disk is full: the failures may be in the missing part. A report
     * is valid only if it is complete, has a test and contains as many failures as its header states.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "  <testcase name=\"one\" classname=\"a.FirstTest\" time=\"0.1\"/>",
                "  <testcase name=\"one\" classname=\"a.FirstTest\"/><testcase name=\"more\" classname=\"a.FirstTest\"><failure ",
                "  <!-- no test -->\n",
                "  <rerun><failure /></rerun><testcase name=\"one\" classname=\"a.FirstTest\"/>\n"
            })
    void anIncompleteReportIsRed(String testCases) throws Exception {
        Verdict verdict =
                withKnownFailure().withReport("a.FirstTest", testCases).verify();

        assertThat(verdict.green()).as(verdict.output()).isFalse();
        assertThat(verdict.output()).contains("TEST-a.FirstTest.xml");
    }

    /**
     * Maven ignores test failures, but still fails if a test process exits by itself or if the formatter, the linter or the
     * compiler fails.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aFailureOfMavenItselfIsRed(boolean listed) throws Exception {
        Verdict verdict =
                (listed ? withKnownFailure() : build).withMavenStatus(1).verify();

        assertThat(verdict.green()).as(verdict.output()).isFalse();
    }

    /**
     * Guards against matching names as substrings of the file's lines: a failed test that was not listed passed if its name
     * was a prefix of a listed name or another part of a line.
     */
    @ParameterizedTest
    @CsvSource({"a.FirstTest, on", "a.FirstTest, one", "a.First, oneMore", "a.FirstTest, oneMor", "t.FirstTest, oneMore"
    })
    void aNameThatIsASubstringOfAListedLineIsRed(String type, String method) throws Exception {
        Verdict verdict = build.withReport(
                        "a.FirstTest",
                        failed("a.FirstTest", "oneMore"),
                        failed(type, method),
                        passed("a.FirstTest", "x"))
                .withKnownRed("a.FirstTest.oneMore, ./verify -Dtest=a.FirstTest.one, t.FirstTest.oneMore: late, #12")
                .verify();

        assertThat(verdict.green()).as(verdict.output()).isFalse();
        assertThat(verdict.output()).contains("  " + type + "." + method + "\n");
    }

    /** A listed flaky test may pass: this must not fail the build, but its line must be printed. */
    @Test
    void aListedTestThatPassesIsGreenAndPrinted() throws Exception {
        Verdict verdict = withKnownFailure()
                .withKnownRed("b.ThirdTest.three" + ENTRY, "a.FirstTest" + ENTRY)
                .verify();

        assertThat(verdict.green()).as(verdict.output()).isTrue();
        assertThat(verdict.output())
                .containsSubsequence("and passed", "b.ThirdTest.three" + ENTRY, "a.FirstTest" + ENTRY);
        assertThat(verdict.lastLine()).contains("2 passed", "1 failed as listed", "3 listed in KNOWN-RED.txt; green");
    }

    /**
     * Guards against stale lines, for example after a test was fixed and renamed: a new test with the old name would be
     * allowed to fail. A line that matches no executed test is an error, also if it is mistyped or its test is disabled.
     */
    @ParameterizedTest
    @ValueSource(strings = {"a.FirstTest.won", "FirstTest.one", "a.FirstTest.off", "a"})
    void aListedNameWithoutAnExecutedTestIsRed(String name) throws Exception {
        Verdict verdict = build.withReport("a.FirstTest", passed("a.FirstTest", "one"), skipped("a.FirstTest", "off"))
                .withKnownRed(name + ENTRY)
                .verify();

        assertThat(verdict.green()).as(verdict.output()).isFalse();
        assertThat(verdict.output()).contains(name + ENTRY);
        assertThat(verdict.lastLine()).contains("3 passed", "1 skipped");
    }

    /**
     * Guards against a listed parameterized test that still fails the build. In the reports each invocation has its own
     * name, with parameter types and an index after the method name, so it matches no line: one line covers all invocations
     * of a method, whether parameterized, repeated or from a factory.
     */
    @ParameterizedTest
    @ValueSource(strings = {"many(String,int)[2]", "many()[1][2]", "many(Path)", "many{String}[1]", "many"})
    void aListedMethodCoversAllItsInvocations(String reportedName) throws Exception {
        Verdict verdict = build.withReport(
                        "a.FirstTest",
                        passed("a.FirstTest", "many(String,int)[1]"),
                        failed("a.FirstTest", reportedName))
                .withKnownRed("a.FirstTest.many" + ENTRY)
                .verify();

        assertThat(verdict.green()).as(verdict.output()).isTrue();
        assertThat(verdict.output()).doesNotContain("and passed");
    }

    /** Surefire reports jqwik properties under the class name without its package, and groups under the group name alone. */
    @ParameterizedTest
    @CsvSource({
        "a.FirstTest$Inner, a.FirstTest$Inner.deep",
        "FirstTest, a.FirstTest.deep",
        "Inner, a.FirstTest$Inner.deep"
    })
    void nestedClassesAndPropertiesHaveFullNames(String reportedClass, String name) throws Exception {
        build.withReport("a.FirstTest", passed("a.FirstTest", "one"), failed(reportedClass, "deep"));

        Verdict unlisted = build.verify();
        Verdict listed = build.withKnownRed(name + ENTRY).verify();

        assertThat(unlisted.green()).as(unlisted.output()).isFalse();
        assertThat(unlisted.output()).contains("  " + name + "\n");
        assertThat(listed.green()).as(listed.output()).isTrue();
    }

    /**
     * A failed {@code @BeforeAll} or {@code @AfterAll} is reported without a method: only an entry for the class covers it.
     */
    @Test
    void aClassFailureIsNotCoveredByAListedMethod() throws Exception {
        build.withReport("a.FirstTest", failed("a.FirstTest", "one"), failed("a.FirstTest", "", "error", "before"))
                .withKnownRed("a.FirstTest.one" + ENTRY);

        Verdict unlisted = build.verify();
        Verdict listed = build.withKnownRed("a.FirstTest" + ENTRY).verify();

        assertThat(unlisted.green()).as(unlisted.output()).isFalse();
        assertThat(unlisted.output()).contains("  a.FirstTest\n");
        assertThat(listed.green()).as(listed.output()).isTrue();
    }

    /**
     * Guards against a lost failure in a class with tests of two engines, JUnit and jqwik: each engine overwrites the text
     * report of the class, so the failures of the first one are lost there. The XML report contains the results of both.
     */
    @Test
    void aFailureMissingFromTheTextReportIsRed() throws Exception {
        Verdict verdict = withKnownFailure()
                .withReport("a.FirstTest", failed("a.FirstTest", "one"), passed("FirstTest", "property"))
                .withTextReport("a.FirstTest", "Test set: a.FirstTest\nTests run: 1, Failures: 0\n")
                .verify();

        assertThat(verdict.green()).as(verdict.output()).isFalse();
        assertThat(verdict.output()).contains("  a.FirstTest.one\n");
    }

    /** The output of a test is copied to its report unchanged, even if it looks like a report itself. */
    @Test
    void testOutputIsNotParsedAsAReport() throws Exception {
        String printed =
                "<testcase name=\"no\" classname=\"a.No\"><failure>\n</testcase> ]]]]><![CDATA[>\n</testsuite>";
        Verdict verdict = build.withReport(
                        "a.FirstTest",
                        failed("a.FirstTest", "one", "failure", printed),
                        "  <testcase name=\"more\" classname=\"a.FirstTest\">\n<system-out><![CDATA[" + printed
                                + "]]></system-out>\n  </testcase>\n")
                .withKnownRed("a.FirstTest.one" + ENTRY)
                .verify();

        assertThat(verdict.green()).as(verdict.output()).isTrue();
        assertThat(verdict.lastLine()).contains("3 passed, 0 failed and not listed, 1 failed as listed");
    }
}
