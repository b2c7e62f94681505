package org.wagtaillug.dispatch;

import java.time.Instant;

/** An attempt in flight, whose end has not been reported yet. */
final class LiveAttempt {
    private final Attempt attempt;
    private final RequestFlow flow;
    private final Instant startedAt;
    private Instant lastProgress;
    private boolean progressed;
    private boolean cancelled;
    private boolean stalled;

    LiveAttempt(Attempt attempt, RequestFlow flow, Instant startedAt) {
        this.attempt = attempt;
        this.flow = flow;
        this.startedAt = startedAt;
        this.lastProgress = startedAt;
    }

    Attempt attempt() {
        return attempt;
    }

    RequestFlow flow() {
        return flow;
    }

    Instant startedAt() {
        return startedAt;
    }

    Instant lastProgress() {
        return lastProgress;
    }

    boolean progressed() {
        return progressed;
    }

    void onProgress(Instant now) {
        progressed = true;
        lastProgress = now;
    }

    boolean cancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Whether it was cancelled because it made no progress or reached its deadline. */
    boolean stalled() {
        return stalled;
    }

    void markStalled() {
        stalled = true;
    }
}
