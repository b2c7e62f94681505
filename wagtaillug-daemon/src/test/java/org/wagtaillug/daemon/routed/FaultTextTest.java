package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import org.junit.jupiter.api.Test;

class FaultTextTest {
    @Test
    void aFaultIsNamedByItsKindAndMessage() {
        assertThat(FaultText.of(new EOFException("reset"))).isEqualTo("EOFException: reset");
    }

    @Test
    void aLongMessageIsCut() {
        assertThat(FaultText.of(new EOFException("x".repeat(500)))).hasSize("EOFException: ".length() + 123);
    }

    @Test
    void noFaultMeansNoAnswer() {
        assertThat(FaultText.of(null)).isEqualTo("no answer");
    }
}
