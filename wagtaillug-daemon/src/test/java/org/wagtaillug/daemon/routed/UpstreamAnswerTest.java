package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpResponse;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.junit.jupiter.api.Test;

class UpstreamAnswerTest {
    private static final IOException RESET = new IOException("connection reset");

    private final Request request = new HttpClient().newRequest("http://a.example/");

    private HttpResponse response(HttpField... head) {
        HttpResponse response = new HttpResponse(request);
        response.status(200);
        List.of(head).forEach(response::addHeader);
        return response;
    }

    /** Guards against a part of an answer that looks whole, as a failed write took the error that ended it. */
    @Test
    void anAnswerThatEndsWithItsConnectionIsNotWholeIfTheUploadFailed() {
        assertThat(UpstreamAnswer.whole(new Result(request, RESET, response(), null)))
                .isFalse();
        assertThat(UpstreamAnswer.whole(new Result(request, response()))).isTrue();
    }

    /** Guards against whole answers that are dropped because their uploads were not read. */
    @Test
    void anAnswerWithALengthOrChunksIsWholeThoughTheUploadFailed() {
        HttpField length = new HttpField(HttpHeader.CONTENT_LENGTH, "4");
        HttpField chunks = new HttpField(HttpHeader.TRANSFER_ENCODING, "chunked");
        assertThat(UpstreamAnswer.whole(new Result(request, RESET, response(length), null)))
                .isTrue();
        assertThat(UpstreamAnswer.whole(new Result(request, RESET, response(chunks), null)))
                .isTrue();
        assertThat(UpstreamAnswer.whole(new Result(request, null, response(length), RESET)))
                .isFalse();
    }
}
