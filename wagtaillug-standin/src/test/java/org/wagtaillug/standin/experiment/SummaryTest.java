package org.wagtaillug.standin.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import com.beust.jcommander.JCommander;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.load.GroupReport;

/** The test resource folder {@code experiment/small} contains a small run and its expected table. */
class SummaryTest {
    private static final Path RUN = Path.of("src", "test", "resources", "experiment", "small");

    @TempDir
    private Path folder;

    private static RunReport report() {
        return RunFolder.read(RUN).map(Summary::of).getOrElseThrow(problem -> new AssertionError(problem));
    }

    private static double figure(RunReport report, String name) {
        for (RunReport.Figure figure : report.figures()) {
            if (figure.name().equals(name)) {
                return figure.value();
            }
        }
        throw new AssertionError("no figure " + name);
    }

    @Test
    void givesTheGoldenTable() throws IOException {
        String table = report().table().replace(System.lineSeparator(), "\n");
        assertThat(table).isEqualTo(Files.readString(RUN.resolve("expected-table.txt")));
    }

    /**
     * Node 1 has 10 more attempts of 4 s in total, 1 s wasted; node 2 has restarted, so all of its 5 attempts of 2 s count.
     */
    @Test
    void addsUpWhatNodesSpentAfterTheWarmUp() {
        RunReport.StageCost encode = report().stages().get(0);
        assertThat(encode).isEqualTo(new RunReport.StageCost("encode", 15, 1.5, 6, 1, 1.0 / 6));
    }

    @Test
    void controlIsAShareOfOneCore() {
        RunReport.NodeCost node = report().nodes().get(0);
        assertThat(node).isEqualTo(new RunReport.NodeCost("node-1", 0.05, 0.5, 2_000, 64));
    }

    @Test
    void findsColdUpstreamsThatWereGivenTooMuch() {
        RunReport.ColdStart cold = report().cold();
        assertThat(cold.breaches()).containsExactly(new RunReport.Breach("engine-1", 2, 3));
        assertThat(cold.fellOver()).isEqualTo(1);
        assertThat(cold.prefixHits()).isEqualTo(0.75);
    }

    /** An answer "not run" is incorrect if an encoder executed a stage of the request. */
    @Test
    void findsRefusalsThatSaidNotRunThoughAStageRan() {
        assertThat(report().notRunThatRan()).isEqualTo(1);
        assertThat(figure(report(), "errors of truth")).isEqualTo(1);
    }

    @Test
    void tellsWhenUpstreamsGotTheirLastWork() {
        assertThat(report().newWork())
                .containsExactly(
                        new RunReport.NewWork("engine-1", "leaving", 1_500),
                        new RunReport.NewWork("encode-1", "domain-out", 700));
    }

    @Test
    void worthIsAShareOfWhatWasOffered() {
        GroupReport total = report().load().total();
        assertThat(total.worthServed() / total.worthOffered()).isEqualTo(0.9);
        assertThat(figure(report(), "worth served, % of offered")).isEqualTo(90);
    }

    @Test
    void aFolderThatIsNoRunIsNamed() {
        assertThat(RunFolder.read(folder).getLeft()).contains(folder.toString());
    }

    @Test
    void comparesPoliciesByMeanAndSpread() throws IOException {
        RunReport report = report();
        write("a", report, "naive");
        write("b", report, "naive");
        write("c", report, "current");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        CompareCommand command = new CompareCommand();
        JCommander.newBuilder()
                .addObject(command)
                .build()
                .parse("--dir", dir("a"), "--dir", dir("b"), "--dir", dir("c"));
        assertThat(command.run(new PrintStream(out, true))).isEqualTo(Either.right(null));
        assertThat(out.toString(StandardCharsets.UTF_8))
                .containsPattern("mean .*naive +current")
                .containsPattern("served in time.* 80\\.00 \\(80\\.00 to 80\\.00, 2\\).* 80\\.00 \\(.*, 1\\)");
        assertThat(CompareCommand.Spread.of(1).and(CompareCommand.Spread.of(4)).text())
                .isEqualTo("2.50 (1.00 to 4.00, 2)");
    }

    private String dir(String name) {
        return folder.resolve(name).toString();
    }

    private void write(String name, RunReport report, String policy) throws IOException {
        String text = Json.text(report).replaceFirst("\"policy\":\"[a-z]+\"", "\"policy\":\"" + policy + "\"");
        Path run = Files.createDirectories(folder.resolve(name));
        Files.writeString(run.resolve(RunReport.FILE), text);
    }
}
