package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import java.net.ConnectException;
import org.eclipse.jetty.client.HttpResponseException;
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

    /** Guards against callers who are told the objects and addresses of this process. */
    @Test
    void omitsTheStateOfObjectsAndAddresses() {
        assertThat(FailureText.of(new EOFException("early end on HttpConnection@203e4908[{l=/127.0.0.1:80}]")))
                .isEqualTo("EOFException: early end");
        assertThat(FailureText.of(new ConnectException("Connection refused: a.example/10.0.0.1:80")))
                .isEqualTo("ConnectException: Connection refused:");
        assertThat(FailureText.of(new HttpResponseException("bad response on Connection@1234", null)))
                .isEqualTo("the answer is not valid HTTP");
    }

    @Test
    void noExceptionMeansNoAnswer() {
        assertThat(FailureText.of(null)).isEqualTo("no answer");
    }
}
