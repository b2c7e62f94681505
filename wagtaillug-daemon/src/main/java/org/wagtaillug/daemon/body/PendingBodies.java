package org.wagtaillug.daemon.body;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The bodies that are being received. While the node shuts down, it limits the time that they take: each caller must get
 * its refusal, and the time to read it, before the process exits.
 *
 * <p>Thread-safe.
 */
public final class PendingBodies {
    /** The time for the body of a request that arrives late; it usually follows the header immediately. */
    private static final Duration MIN_RECEIVE_TIME = Duration.ofMillis(200);

    private final Set<RequestBody> pending = ConcurrentHashMap.newKeySet();
    private volatile Optional<Instant> due = Optional.empty();
    private volatile boolean closed;

    /** Adds a body before its reception starts. */
    public void add(RequestBody body, Instant now) {
        pending.add(body);
        due.ifPresent(end -> limit(body, end, now));
        if (closed) {
            body.end(new BodyEnd.ShutDown());
        }
    }

    /** Removes a body whose reception has ended. */
    public void remove(RequestBody body) {
        pending.remove(body);
    }

    /** Ends the reception of all bodies, present and future, at a time. */
    public void endAt(Instant end, Instant now) {
        due = Optional.of(end);
        pending.forEach(body -> limit(body, end, now));
    }

    private static void limit(RequestBody body, Instant end, Instant now) {
        Duration left = Duration.between(now, end);
        body.endAfter(left.compareTo(MIN_RECEIVE_TIME) < 0 ? MIN_RECEIVE_TIME : left, new BodyEnd.ShutDown());
    }

    /** Ends the reception of all bodies, present and future, immediately. */
    public void endAll() {
        closed = true;
        pending.forEach(body -> body.end(new BodyEnd.ShutDown()));
    }
}
