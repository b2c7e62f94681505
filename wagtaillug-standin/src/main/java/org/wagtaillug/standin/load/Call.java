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

/** A request in flight: sends it, processes the answer and reports the outcome to the recorder. */
final class Call implements Response.Listener {
    /** Time after its deadline at which a request times out on the client side. */
    static final long GRACE_MILLIS = 3_000;

    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int RANDOM_BITS_OF_VERSION = 12;
    private static final int TIME_SHIFT = 16;
    private static final long VERSION_SEVEN = 0x7000;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final long VARIANT_MASK = 0x3FFF_FFFF_FFFF_FFFFL;

    private final Context context;
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
     * The collaborators shared by all requests of a run.
     *
     * @param timer schedules retries
     */
    record Context(HttpClient client, Balancer balancer, Recorder recorder, ScheduledExecutorService timer) {}

    /**
     * Creates a request that has not been sent.
     *
     * @param ended called when the request has ended, including its retry
     * @param due the scheduled send time
     */
    Call(Context context, Arrival arrival, Consumer<Call> ended, Due due) {
        this.context = context;
        this.recorder = context.recorder();
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
     * The scheduled send time of a request.
     *
     * @param nanos on the clock of {@link System#nanoTime}
     * @param unixMillis on the wall clock, for the request's ids
     */
    record Due(long nanos, long unixMillis) {}

    /** Sends the first attempt. */
    void send(long nowNanos) {
        sentNanos = nowNanos;
        send(Optional.empty(), nowNanos);
    }

    private void send(Optional<URI> avoided, long nowNanos) {
        URI chosen = context.balancer().next(avoided).orElse(null);
        if (chosen == null) {
            end(new Outcome.Lost("no node ready"), nowNanos);
            return;
        }
        node = chosen;
        recorder.dispatched(chosen.toString());
        LoadFile.Kind kind = arrival.kind();
        long deadlineMillis = kind.deadline().toMillis();
        Request request = context.client()
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
            parser.parse(bytes);
            return;
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        if (content.size() + part.length <= MAX_BODY_BYTES) {
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
            end(check.streamOutcome(inTime), now);
            return;
        }
        end(check.responseOutcome(result.getResponse().getStatus(), content.toByteArray(), inTime), now);
    }

    private void failed(Throwable failure, long now) {
        if (failure instanceof ConnectException) {
            context.balancer().markUnreachable(node);
            send(Optional.empty(), now);
            return;
        }
        end(new Outcome.Lost(failure instanceof TimeoutException ? "no answer" : "connection broken"), now);
    }

    private void event(String name, String data) {
        long now = System.nanoTime();
        if (!check.onEvent(name, data)) {
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
        if (isRetryable(outcome)) {
            retried = true;
            recorder.retried();
            long wait = outcome instanceof Outcome.Refused refusal ? refusal.retryAfterMillis() : 0;
            context.timer().schedule(this::retry, wait, TimeUnit.MILLISECONDS);
            return;
        }
        String sentTo = node == null ? "" : node.toString();
        recorder.end(arrival, new Recorder.Ending(requestId, key, sentTo, retried, outcome, check, now - dueNanos));
        ended.accept(this);
    }

    /** Like a caller with an idempotency key, retries once after a missing answer or a refusal with a retry delay. */
    private boolean isRetryable(Outcome outcome) {
        if (key.isEmpty() || retried) {
            return false;
        }
        return switch (outcome) {
            case Outcome.Served ignored -> false;
            case Outcome.Refused refusal -> refusal.retryAfterMillis() > 0;
            case Outcome.Lost ignored -> node != null;
        };
    }

    private void retry() {
        check = new AnswerCheck(requestId);
        parser = new EventStreamParser(this::event);
        content = new ByteArrayOutputStream();
        eventStream = false;
        send(Optional.of(node), System.nanoTime());
    }

    /** Returns a version 7 UUID. It starts with the time, which lets a node determine the age of an idempotency key. */
    private static String timeOrderedUuid(long unixMillis, SplittableRandom random) {
        long highBits = unixMillis << TIME_SHIFT | VERSION_SEVEN | random.nextLong(1L << RANDOM_BITS_OF_VERSION);
        long lowBits = VARIANT | random.nextLong() & VARIANT_MASK;
        return new UUID(highBits, lowBits).toString();
    }
}
