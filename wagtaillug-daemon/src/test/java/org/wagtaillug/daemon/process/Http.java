package org.wagtaillug.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.wagtaillug.daemon.Json;

/** A blocking HTTP client for the loopback interface that reports a broken connection as {@link Answer#INCOMPLETE}. */
final class Http implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 256;

    private final HttpClient client = new HttpClient();

    Http() throws Exception {
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setIdleTimeout(0);
        client.start();
    }

    Answer get(int port, String path, Map<String, String> headers) {
        return send(request(port, path, headers).method(HttpMethod.GET));
    }

    Answer send(HttpMethod method, int port, String path, Map<String, String> headers, JsonNode body) {
        return send(request(port, path, headers)
                .method(method)
                .body(new StringRequestContent("application/json", Json.text(body))));
    }

    private Request request(int port, String path, Map<String, String> headers) {
        Request request = client.newRequest("127.0.0.1", port).path(path);
        request.headers(fields -> headers.forEach(fields::put));
        return request.timeout(Waiting.TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static Answer send(Request request) {
        try {
            ContentResponse response = request.send();
            String retryAfter = response.getHeaders().get(HttpHeader.RETRY_AFTER);
            return new Answer(
                    response.getStatus(), retryAfter == null ? "" : retryAfter, response.getContentAsString());
        } catch (ExecutionException | TimeoutException broken) {
            return Answer.INCOMPLETE;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Answer.INCOMPLETE;
        }
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception fault) {
            throw new IllegalStateException("the HTTP client did not stop", fault);
        }
    }
}
