package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import org.junit.jupiter.api.Test;

class FailureTextTest {
    @Test
    void namesTheExceptionClassAndMessage() {
        assertThat(FailureText.of(new EOFException("reset"))).isEqualTo("EOFException: reset");
    }

    @Test
    void truncatesALongMessage() {
        assertThat(FailureText.of(new EOFException("x".repeat(500)))).hasSize("EOFException: ".length() + 123);
    }

    @Test
    void noExceptionMeansNoAnswer() {
        assertThat(FailureText.of(null)).isEqualTo("no answer");
    }
}
