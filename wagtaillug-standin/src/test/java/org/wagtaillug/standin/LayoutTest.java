package org.wagtaillug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LayoutTest {
    @TempDir
    private Path folder;

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("layout.yaml"), text);
    }

    @ParameterizedTest
    @CsvSource({"ramdin, 37, 12", "himalchuli, 33, 8"})
    void readsBothFirmsLayouts(String firm, int standIns, int engines) {
        Layout layout = Layout.read(Path.of("..", "examples", firm, "layout.yaml"))
                .getOrElseThrow(problem -> new AssertionError(problem));
        assertThat(layout.standIns()).hasSize(standIns);
        assertThat(layout.standIns())
                .filteredOn(entry -> entry.kind() == StandInKind.ENGINE)
                .hasSize(engines);
        assertThat(layout.nodes()).hasSize(9);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{kind: engin, name: a} | standins[0].kind: found 'engin' | nearest is 'engine'",
                "{kind: log} | standins[0].name: missing | expected a name",
                "{kind: log, name: a, apend-millis: 3} | standins[0].apend-millis | nearest is 'append-millis'",
                "{kind: log, name: a, append-millis: -3} | append-millis: found -3 | nearest is 0",
                "{kind: stage, name: a, pool: p, domain: d} | standins[0].region: missing | expected a name",
                "{kind: log, name: a, append-millis: much} | standins[0] | much",
            })
    void namesWhatIsWrong(String entry, String first, String second) throws IOException {
        Path file = file("standins:\n  - " + entry + "\n");
        assertThat(Layout.read(file).getLeft()).contains(file.toString(), first, second);
    }

    @Test
    void refusesANameOrPortTwice() throws IOException {
        Path file = file("standins:\n  - {kind: log, name: a, port: 7}\n  - {kind: log, name: a, port: 7}\n");
        assertThat(Layout.read(file).getLeft()).contains("standins[1].name: found 'a' a second", "found 7 a second");
    }

    @Test
    void refusesAFileThatIsMissingOrNoYaml() throws IOException {
        assertThat(Layout.read(folder.resolve("none.yaml")).getLeft()).contains("none.yaml: not found");
        assertThat(Layout.read(file("standins: [")).getLeft()).contains("expected YAML");
        assertThat(Layout.read(file("")).getLeft()).contains("standins: empty");
    }
}
