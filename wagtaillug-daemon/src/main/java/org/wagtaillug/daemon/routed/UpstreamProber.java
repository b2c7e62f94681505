package org.wagtaillug.daemon.routed;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.wagtaillug.daemon.translation.UpstreamTranslation;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.serving.ServingEvent;

/**
 * Finds out whether upstreams can be reached. A connection that opens shows little, as it may be reset before any answer;
 * so an upstream is sent a request that it does not execute.
 */
final class UpstreamProber {
    /** An upstream that accepts the request and is silent for this long is reachable, but slow. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(800);

    private final HttpClient client;
    private final UpstreamTranslation translation;
    private final Consumer<ServingEvent> events;

    /**
     * Creates a prober.
     *
     * @param client closes each connection after its only request, and has a shorter timeout for connecting than the probe
     */
    UpstreamProber(HttpClient client, UpstreamTranslation translation, Consumer<ServingEvent> events) {
        this.client = client;
        this.translation = translation;
        this.events = events;
    }

    /** Sends a probe without blocking. */
    void probe(Listing upstream) {
        client.newRequest(upstream.host(), upstream.port())
                .path("/")
                .headers(headers -> {
                    translation.writeProbe(headers);
                    headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
                })
                .timeout(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .send(result -> events.accept(new ServingEvent.ConnectEnded(upstream.id(), failure(result))));
    }

    private static Optional<String> failure(Result result) {
        boolean answered = result.getResponse().getStatus() > 0;
        if (answered || result.getFailure() instanceof TimeoutException) {
            return Optional.empty();
        }
        return Optional.of(FailureText.of(result.getFailure()));
    }
}
