package org.wagtaillug.daemon.upstream;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.wagtaillug.clock.LeaseClock;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.node.Event;

/** Listens to the exchange of one attempt and reports its progress and its end. */
final class AttemptListener {
    private static final int OK = 200;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final Duration PROGRESS_PERIOD = Duration.ofMillis(200);

    private final Attempt attempt;
    private final AnswerReader reader;
    private final LeaseClock clock;
    private final Consumer<Event> events;
    private final Consumer<AttemptId> onEnd;
    private volatile boolean byteLeft;
    private volatile boolean expired;
    private volatile boolean responded;
    private Instant lastProgress = Instant.EPOCH;

    AttemptListener(
            Attempt attempt, AnswerReader reader, LeaseClock clock, Consumer<Event> events, Consumer<AttemptId> onEnd) {
        this.attempt = attempt;
        this.reader = reader;
        this.clock = clock;
        this.events = events;
        this.onEnd = onEnd;
    }

    /**
     * Called immediately before bytes are sent. Guards against a process that was paused between the decision and the
     * sending: its allowance may have been given to another node in the meantime, and the upstream would be overloaded.
     */
    void onBegin(Request request) {
        if (!clock.now().isBefore(attempt.sendDeadline())) {
            expired = true;
            request.abort(new IllegalStateException("the allowance to start the attempt has expired"));
            return;
        }
        byteLeft = true;
    }

    void onResponse(Response response) {
        responded = true;
        progress();
    }

    void onContent(Response response, ByteBuffer bytes) {
        progress();
        if (response.getStatus() == OK && !reader.read(bytes)) {
            response.abort(new IllegalStateException("the answer is invalid"));
        }
    }

    /** Whether a part of an answer was received. */
    boolean responded() {
        return responded;
    }

    private void progress() {
        Instant now = clock.now();
        if (now.minus(PROGRESS_PERIOD).isBefore(lastProgress)) {
            return;
        }
        lastProgress = now;
        events.accept(new Event.AttemptProgressed(attempt.id()));
    }

    void onComplete(Result result) {
        onEnd.accept(attempt.id());
        events.accept(new Event.AttemptEnded(attempt.id(), end(result)));
    }

    private AttemptEnd end(Result result) {
        if (expired) {
            return new AttemptEnd.NotStarted();
        }
        if (result.isFailed()) {
            return new AttemptEnd.Failed(
                    byteLeft, String.valueOf(result.getFailure().getMessage()));
        }
        int status = result.getResponse().getStatus();
        if (status == OK) {
            return reader.end();
        }
        if (status == TOO_MANY_REQUESTS) {
            return new AttemptEnd.Overloaded();
        }
        if (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR) {
            return new AttemptEnd.Rejected("the upstream answered " + status);
        }
        return new AttemptEnd.Failed(true, "the upstream answered " + status);
    }
}
