package org.wagtaillug.standin.load;

import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;

/** One request on its way: sends it, follows the answer and tells the recorder what came of it. */
final class Call implements Response.Listener {
    /** How long after its deadline a request is given up. */
    static final long GRACE_MILLIS = 3_000;

    private static final int LARGEST_BODY = 4 * 1024 * 1024;
    private static final int RANDOM_BITS_OF_VERSION = 12;
    private static final int TIME_SHIFT = 16;
    private static final long VERSION_SEVEN = 0x7000;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final long VARIANT_MASK = 0x3FFF_FFFF_FFFF_FFFFL;

    private final Surroundings surroundings;
    private final Recorder recorder;
    private final Consumer<Call> ended;
    private final Arrival arrival;
    private final long dueNanos;
    private final String requestId;
    private final String key;
    private final String body;
    private AnswerCheck check;
    private EventStreamParser parser;
    private ByteArrayOutputStream content = new ByteArrayOutputStream();
    private URI node;
    private long sentNanos;
    private long lastTokenNanos;
    private boolean eventStream;
    private boolean retried;

    /**
     * What all requests of a run are sent with.
     *
     * @param timer sends again what may be retried after some time
     */
    record Surroundings(HttpClient client, Balancer balancer, Recorder recorder, ScheduledExecutorService timer) {}

    /**
     * Prepares a request.
     *
     * @param ended is told when all is over
     * @param due when it is due
     */
    Call(Surroundings surroundings, Arrival arrival, Consumer<Call> ended, Due due) {
        this.surroundings = surroundings;
        this.recorder = surroundings.recorder();
        this.ended = ended;
        this.arrival = arrival;
        this.dueNanos = due.nanos();
        SplittableRandom random = new SplittableRandom(arrival.seed());
        this.requestId = timeOrderedUuid(due.unixMillis(), random);
        this.key = arrival.kind().idempotencyKey() ? timeOrderedUuid(due.unixMillis(), random) : "";
        this.body = RequestBody.write(arrival, random);
        this.check = new AnswerCheck(requestId);
        this.parser = new EventStreamParser(this::event);
    }

    /**
     * When a request is due.
     *
     * @param nanos on the clock of {@link System#nanoTime}
     * @param unixMillis on the wall clock, for its ids
     */
    record Due(long nanos, long unixMillis) {}

    /** Sends it for the first time. */
    void send(long nowNanos) {
        sentNanos = nowNanos;
        send(Optional.empty(), nowNanos);
    }

    private void send(Optional<URI> avoided, long nowNanos) {
        URI chosen = surroundings.balancer().next(avoided).orElse(null);
        if (chosen == null) {
            end(new Outcome.Lost("no node ready"), nowNanos);
            return;
        }
        node = chosen;
        recorder.given(chosen.toString());
        LoadFile.Kind kind = arrival.kind();
        long deadlineMillis = kind.deadline().toMillis();
        Request request = surroundings
                .client()
                .newRequest(chosen.resolve("/v1/templates/" + kind.template() + "/requests"))
                .method(HttpMethod.POST)
                .headers(headers -> {
                    headers.put("Wagtaillug-Customer", arrival.customer().name());
                    headers.put("Wagtaillug-Request", requestId);
                    headers.put("Wagtaillug-Deadline-Millis", Long.toString(deadlineMillis));
                    if (!key.isEmpty()) {
                        headers.put("Idempotency-Key", key);
                    }
                })
                .body(new StringRequestContent("application/json", body))
                .idleTimeout(deadlineMillis + GRACE_MILLIS, TimeUnit.MILLISECONDS)
                .timeout(deadlineMillis + GRACE_MILLIS, TimeUnit.MILLISECONDS);
        request.send(this);
    }

    @Override
    public void onHeaders(Response response) {
        String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
        eventStream = type != null && type.startsWith("text/event-stream");
    }

    @Override
    public void onContent(Response response, ByteBuffer bytes) {
        if (eventStream) {
            parser.take(bytes);
            return;
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        if (content.size() + part.length <= LARGEST_BODY) {
            content.writeBytes(part);
        }
    }

    @Override
    public void onComplete(Result result) {
        long now = System.nanoTime();
        if (result.isFailed()) {
            failed(result.getFailure(), now);
            return;
        }
        boolean inTime = now - sentNanos <= arrival.kind().deadline().toNanos();
        if (eventStream) {
            end(check.streamed(inTime), now);
            return;
        }
        end(check.answered(result.getResponse().getStatus(), content.toByteArray(), inTime), now);
    }

    private void failed(Throwable failure, long now) {
        if (failure instanceof ConnectException) {
            surroundings.balancer().unreachable(node);
            send(Optional.empty(), now);
            return;
        }
        end(new Outcome.Lost(failure instanceof TimeoutException ? "no answer" : "connection broken"), now);
    }

    private void event(String name, String data) {
        long now = System.nanoTime();
        if (!check.event(name, data)) {
            return;
        }
        if (lastTokenNanos == 0) {
            recorder.firstToken(arrival, now - dueNanos);
        } else {
            recorder.betweenTokens(arrival, now - lastTokenNanos);
        }
        lastTokenNanos = now;
    }

    private void end(Outcome outcome, long now) {
        if (mayBeRetried(outcome)) {
            retried = true;
            recorder.retried();
            long wait = outcome instanceof Outcome.Refused refusal ? refusal.retryAfterMillis() : 0;
            surroundings.timer().schedule(this::sendAgain, wait, TimeUnit.MILLISECONDS);
            return;
        }
        String sentTo = node == null ? "" : node.toString();
        recorder.end(arrival, new Recorder.Ending(requestId, key, sentTo, retried, outcome, check, now - dueNanos));
        ended.accept(this);
    }

    /** A caller with an idempotency key asks once more when it got no answer, or a refusal that names a time to wait. */
    private boolean mayBeRetried(Outcome outcome) {
        if (key.isEmpty() || retried) {
            return false;
        }
        return switch (outcome) {
            case Outcome.Served ignored -> false;
            case Outcome.Refused refusal -> refusal.retryAfterMillis() > 0;
            case Outcome.Lost ignored -> node != null;
        };
    }

    private void sendAgain() {
        check = new AnswerCheck(requestId);
        parser = new EventStreamParser(this::event);
        content = new ByteArrayOutputStream();
        eventStream = false;
        send(Optional.of(node), System.nanoTime());
    }

    /** A UUID of version 7: the time in front, so that a node can tell how old an idempotency key is. */
    private static String timeOrderedUuid(long unixMillis, SplittableRandom random) {
        long front = unixMillis << TIME_SHIFT | VERSION_SEVEN | random.nextLong(1L << RANDOM_BITS_OF_VERSION);
        long back = VARIANT | random.nextLong() & VARIANT_MASK;
        return new UUID(front, back).toString();
    }
}
