package org.wagtaillug.daemon.routed;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Measures how long the threads of the node take to get to new work. Thread-safe. */
final class WorkDelay {
    /** Minimum time between two measurements. */
    private static final Duration INTERVAL = Duration.ofMillis(50);

    /** A measurement says nothing about the present after this time. */
    private static final Duration VALIDITY = Duration.ofSeconds(1);

    private final List<Executor> executors;
    private final Supplier<Instant> clock;
    private Optional<Instant> pendingSince = Optional.empty();
    private Instant measuredAt = Instant.EPOCH;
    private Duration measured = Duration.ZERO;

    /** Creates an instance that measures the longest delay of several executors. */
    WorkDelay(List<Executor> executors, Supplier<Instant> clock) {
        this.executors = List.copyOf(executors);
        this.clock = clock;
    }

    /** Returns the delay at present, and starts a new measurement if one is due. */
    Duration current() {
        Instant now = clock.get();
        if (startDue(now)) {
            AtomicInteger remaining = new AtomicInteger(executors.size());
            for (Executor executor : executors) {
                executor.execute(() -> onRun(remaining));
            }
        }
        return known(now);
    }

    private synchronized boolean startDue(Instant now) {
        if (pendingSince.isPresent() || now.isBefore(measuredAt.plus(INTERVAL))) {
            return false;
        }
        pendingSince = Optional.of(now);
        return true;
    }

    private void onRun(AtomicInteger remaining) {
        if (remaining.decrementAndGet() == 0) {
            onMeasured(clock.get());
        }
    }

    private synchronized void onMeasured(Instant now) {
        measured = Duration.between(pendingSince.orElse(now), now);
        measuredAt = now;
        pendingSince = Optional.empty();
    }

    private synchronized Duration known(Instant now) {
        Duration last = now.isBefore(measuredAt.plus(VALIDITY)) ? measured : Duration.ZERO;
        Duration pending =
                pendingSince.map(since -> Duration.between(since, now)).orElse(Duration.ZERO);
        return pending.compareTo(last) > 0 ? pending : last;
    }
}
