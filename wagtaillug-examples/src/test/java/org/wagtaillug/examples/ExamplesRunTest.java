package org.wagtaillug.examples;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExamplesRunTest {
    @Test
    void aNodeDrivenByTheExampleJoinsTheRosterAndBecomesReady() {
        assertThat(DriveOneNode.run())
                .contains("ready: true (FRESH)")
                .anyMatch(line -> line.startsWith("append: RosterChange[kind=JOIN"));
    }

    @Test
    void aMistypedFieldIsReportedWithItsLineAndTheNearestName(@TempDir Path directory) throws IOException {
        Path file = directory.resolve("contracts.yaml");
        Files.writeString(file, "kind: pool\nid: encode\ncold_limti: 2\n");
        assertThat(CheckContracts.check(file)).singleElement().asString().contains(":3:", "cold_limit");
    }
}
