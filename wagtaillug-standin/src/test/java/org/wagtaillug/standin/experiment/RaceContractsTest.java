package org.wagtaillug.standin.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtaillug.contract.Body;
import org.wagtaillug.settings.Contracts;

class RaceContractsTest {
    @Test
    void bothAreValidAndDifferUnderOneKey() throws IOException {
        List<Body> bodies = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            Path file = Path.of("..", "examples", "experiments", "race", "template-" + number + ".yaml");
            bodies.addAll(Contracts.parse(Files.readString(file), file.toString())
                    .getOrElseThrow(problems -> new AssertionError(problems)));
        }
        assertThat(bodies).hasSize(2);
        assertThat(bodies.get(0).key()).isEqualTo(bodies.get(1).key());
        assertThat(bodies.get(0)).isNotEqualTo(bodies.get(1));
    }
}
