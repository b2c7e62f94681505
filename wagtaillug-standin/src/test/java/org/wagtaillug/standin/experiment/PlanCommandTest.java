package org.wagtaillug.standin.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.standin.load.LoadFile;

class PlanCommandTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @TempDir
    private Path folder;

    private Either<String, Void> plan(String... more) throws IOException {
        List<String> arguments = new ArrayList<>(List.of("--out", folder.toString()));
        arguments.addAll(List.of("--examples", EXAMPLES.toString()));
        arguments.addAll(List.of(more));
        PlanCommand command = new PlanCommand();
        JCommander.newBuilder().addObject(command).build().parse(arguments.toArray(new String[0]));
        return command.run(new PrintStream(new ByteArrayOutputStream(), true));
    }

    private LoadFile load() {
        return LoadFile.read(folder.resolve("load.yaml")).getOrElseThrow(problem -> new AssertionError(problem));
    }

    @ParameterizedTest
    @ValueSource(strings = {"ramdin", "himalchuli"})
    void everyScenarioMakesAValidRun(String firm) throws IOException {
        List<String> scenarios = new ArrayList<>();
        try (var files = Files.newDirectoryStream(EXAMPLES.resolve("experiments/scenarios"))) {
            files.forEach(file -> scenarios.add(file.getFileName().toString().replace(".yaml", "")));
        }
        assertThat(scenarios).hasSizeGreaterThanOrEqualTo(10);
        for (String scenario : scenarios) {
            assertThat(plan("--firm", firm, "--scenario", scenario)).isEqualTo(Either.right(null));
            LoadFile load = load();
            for (LoadFile.TimedCall call : load.faults()) {
                assertThat(call.at()).isBetween(load.warmUp(), load.duration());
            }
            assertThat(Files.readAllLines(folder.resolve("upstreams.txt"))).hasSizeGreaterThan(29);
        }
    }

    /** 96 slots; a request occupies one for 0.2 * 1.02 s + 0.4 * 0.32 s + 0.3 * 0.52 s + 0.1 * 0 s = 0.488 s on average. */
    @ParameterizedTest
    @CsvSource({"ramdin, 118.03", "himalchuli, 103.23"})
    void theRateIsSixTenthsOfWhatTheEnginesBear(String firm, double rate) throws IOException {
        plan("--firm", firm, "--scenario", "steady");
        assertThat(load().rate()).isBetween(rate - 0.01, rate + 0.01);
        plan("--firm", firm, "--scenario", "steady", "--rate", "17");
        assertThat(load().rate()).isEqualTo(17);
    }

    @Test
    void aPairDoesWhatBothDo() throws IOException {
        plan("--scenario", "burst+node-killed");
        assertThat(load().burst().at()).isEqualTo(Duration.ofSeconds(30));
        assertThat(Files.readAllLines(folder.resolve("actions.txt")))
                .containsExactly("20000 metrics start", "30000 kill-node 5");
    }

    @Test
    void domainOutNamesTheSecondDomain() throws IOException {
        plan("--firm", "himalchuli", "--scenario", "domain-out-and-back");
        assertThat(Files.readAllLines(folder.resolve("actions.txt")))
                .containsExactly(
                        "20000 metrics start",
                        "28000 domain-out ka-b",
                        "42000 counters before-back",
                        "43000 domain-back ka-b");
    }

    @Test
    void leavingIsToldToTheVmList() throws IOException {
        plan("--scenario", "leaving");
        LoadFile.TimedCall first = load().faults().get(0);
        assertThat(first.method()).isEqualTo("PUT");
        assertThat(first.url()).isEqualTo(URI.create("http://127.0.0.1:9001/vms/ramdin-engine-1"));
        JsonNode vm = first.body();
        assertThat(vm.path("state").asText()).isEqualTo("leaving");
        assertThat(vm.path("port").asInt()).isEqualTo(9100);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "--scenario stedy | found 'stedy' | nearest is 'steady'",
                "--scenario steady --firm ramdim | found 'ramdim' | nearest is 'ramdin'",
                "--scenario steady --policy naiv | found 'naiv' | nearest is 'naive'",
                "--scenario steady --rate 0 | --rate: found 0.0 | above 0",
            })
    void namesWhatIsWrong(String line, String first, String second) throws IOException {
        assertThat(plan(line.split(" ")).getLeft()).contains(first, second);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "faults: [{at: 1s, on: log}] | faults[0]: expected at, on and either body or leaving",
                "faults: [{at: 1s, on: lok, body: {}}] | lok",
                "actions: [{at: 1s, run: kill-node, node: 10}] | actions[0]: node: found 10, expected a number from 1 to 9",
                "actions: [{run: race}] | actions[0]: expected at and run",
                "actions: [{at: 1s, run: counters}] | actions[0]: name: missing",
                "burts: {at: 1s} | burts",
            })
    void aWrongScenarioIsNamed(String text, String expected) throws IOException {
        Path file = Files.writeString(folder.resolve("scenario.yaml"), text);
        assertThat(Scenario.read(file, 9).getLeft()).contains(file.toString(), expected);
    }
}
