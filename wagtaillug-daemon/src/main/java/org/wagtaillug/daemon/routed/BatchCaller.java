package org.wagtaillug.daemon.routed;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.batch.BatchCallEnd;
import org.wagtaillug.daemon.translation.StageTranslation;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.serving.ServingEffect;
import org.wagtaillug.serving.ServingEvent;

/**
 * Sends batch calls and releases to stage servers. A server may answer an earlier request once more, so each request has an
 * id. An answer that names another one ends its connection. A call to a server that is not known to name requests in its
 * answers gets a connection of its own.
 */
final class BatchCaller {
    private static final Logger LOGGER = System.getLogger(BatchCaller.class.getName());

    /** The handles of a batch take some kilobytes. */
    private static final int MAX_ANSWER_BYTES = 1024 * 1024;

    /** A release does not wait for a slot at the server; results that are not released expire with their lifetime. */
    private static final int RELEASE_TIMEOUT_MILLIS = 1000;

    /** Bounds the memory for servers that have ended. */
    private static final int MAX_IDENTIFYING = 10_000;

    private static final int OK = 200;
    private static final String JSON = "application/json";

    private final HttpClient pooledClient;
    private final HttpClient singleUseClient;
    private final StageTranslation translation;
    private final Consumer<ServingEvent> events;

    /** Starts at a random number, as the ids of different nodes must differ. */
    private final AtomicLong lastId = new AtomicLong(new SecureRandom().nextLong());

    /** Servers whose latest answer named its request. */
    private final Set<VmId> identifying = ConcurrentHashMap.newKeySet();

    /**
     * Creates a caller with the given clients.
     *
     * @param pooledClient reuses connections
     * @param singleUseClient for requests that have a connection of their own
     */
    BatchCaller(
            HttpClient pooledClient,
            HttpClient singleUseClient,
            StageTranslation translation,
            Consumer<ServingEvent> events) {
        this.pooledClient = pooledClient;
        this.singleUseClient = singleUseClient;
        this.translation = translation;
        this.events = events;
    }

    /** Sends a call; its end is reported by one event. */
    void call(BatchCall call) {
        AtomicBoolean sent = new AtomicBoolean();
        boolean reuse = identifying.contains(call.upstream().id());
        request(
                        call.upstream(),
                        reuse ? pooledClient : singleUseClient,
                        reuse,
                        translation.callPath(),
                        translation.encodeCall(call))
                .onRequestBegin(ignored -> sent.set(true))
                .timeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        events.accept(new ServingEvent.BatchCallEnded(
                                call.number(), end(call, sent.get(), result, getContent()), notice(result)));
                    }
                });
    }

    private BatchCallEnd end(BatchCall call, boolean sent, Result result, byte[] content) {
        if (result.isFailed()) {
            String reason = FailureText.of(result.getFailure());
            return sent ? new BatchCallEnd.Broken(reason) : new BatchCallEnd.Unsent(reason);
        }
        byte[] body = content == null ? new byte[0] : content;
        return translation.decodeAnswer(
                call, result.getResponse().getStatus(), result.getResponse().getHeaders(), body);
    }

    private Optional<UpstreamNotice> notice(Result result) {
        return result.isFailed()
                ? Optional.empty()
                : translation.notice(
                        result.getResponse().getStatus(), result.getResponse().getHeaders());
    }

    /** Tells a server that results are no longer needed; one event reports whether the server has confirmed it. */
    void release(ServingEffect.ReleaseResults release) {
        // At worst, an answer to another request confirms a release; the results expire anyway.
        request(
                        release.server(),
                        pooledClient,
                        false,
                        translation.releasePath(),
                        translation.encodeRelease(release.handles()))
                .timeout(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(result -> {
                    boolean confirmed =
                            result.isSucceeded() && result.getResponse().getStatus() == OK;
                    if (!confirmed) {
                        LOGGER.log(
                                Level.INFO,
                                "{0} did not confirm the release of {1} results: {2}",
                                release.server().id(),
                                release.handles().size(),
                                FailureText.of(result.getFailure()));
                    }
                    events.accept(new ServingEvent.ReleaseEnded(release.release(), confirmed, notice(result)));
                });
    }

    private Request request(Listing upstream, HttpClient client, boolean idRequired, String path, byte[] body) {
        String id = HexFormat.of().toHexDigits(lastId.incrementAndGet());
        return client.newRequest(upstream.host(), upstream.port())
                .method(HttpMethod.POST)
                .path(path)
                .headers(headers -> {
                    translation.addHeaders(upstream, id, headers);
                    if (client == singleUseClient) {
                        headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
                    }
                })
                .body(new BytesRequestContent(JSON, body))
                .onResponseHeaders(response -> abortUnlessOwn(response, upstream, id, idRequired));
    }

    /** Aborts an answer that belongs to another request, or may do so. */
    private void abortUnlessOwn(Response response, Listing upstream, String id, boolean idRequired) {
        Optional<String> answered = translation.answeredRequest(response.getHeaders());
        if (answered.filter(id::equals).isPresent()) {
            if (identifying.size() < MAX_IDENTIFYING) {
                identifying.add(upstream.id());
            }
            return;
        }
        identifying.remove(upstream.id());
        if (answered.isPresent() || idRequired) {
            response.abort(new IOException("the answer belongs to request " + answered.orElse("(not specified)")));
        }
    }
}
