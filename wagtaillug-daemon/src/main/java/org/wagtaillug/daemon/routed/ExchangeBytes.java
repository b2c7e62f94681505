package org.wagtaillug.daemon.routed;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.util.thread.Scheduler;

/** The bytes that are held for the readers of one exchange, and the demand for content from its upstream. Thread-safe. */
final class ExchangeBytes {
    /** A server aborts an answer that stays unread for some seconds. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    /** What one upstream may bring in a row before the other connections of its thread are served. */
    private static final int MAX_BYTES_IN_A_ROW = 2 * HeldBytes.PART_BYTES;

    private final ReaderLimits limits;
    private final HeldBytes.Account account;
    private final AtomicReference<Wait> wait = new AtomicReference<>();
    private volatile int bytesInARow;

    /** An upstream from which nothing is read at the moment. */
    private static final class Wait {
        private final Runnable demand;
        private volatile Scheduler.Task timeout = () -> false;

        private Wait(Runnable demand) {
            this.demand = demand;
        }
    }

    ExchangeBytes(ReaderLimits limits, HeldBytes.Account account) {
        this.limits = limits;
        this.account = account;
    }

    /** Whether bytes are bounded, so that bodies are passed on in parts of {@link HeldBytes#PART_BYTES}. */
    boolean limited() {
        return limits.active();
    }

    void addAnswer(int length) {
        Instant now = limits.now();
        limits.bytes().addAnswer(account, length, now);
        limits.onGrown(account, now);
    }

    void onAnswerRead(int length) {
        limits.bytes().onAnswerRead(account, length, limits.now());
        if (wait.get() != null && limits.bytes().mayRead(account)) {
            continueReading(wait.get());
        }
    }

    void addBody(int length) {
        Instant now = limits.now();
        limits.bytes().addBody(account, length, now);
        limits.onGrown(account, now);
    }

    void onBodyRead(int length) {
        limits.bytes().onBodyRead(account, length, limits.now());
    }

    void onBodyRestarted() {
        limits.bytes().onBodyRestarted(account, limits.now());
    }

    void keep(int length) {
        Instant now = limits.now();
        limits.bytes().keep(account, length, now);
        limits.onGrown(account, now);
    }

    void close() {
        limits.bytes().close(account);
        continueReading(wait.get());
    }

    /**
     * Demands the next content, at once or when the caller has read enough, but after {@link #MAX_WAIT} at the latest.
     *
     * @param length the length of the content that has just been read
     */
    void demand(int length, Runnable demand) {
        if (!limits.active()) {
            demand.run();
            return;
        }
        if (limits.bytes().mayRead(account)) {
            demandFairly(length, demand);
            return;
        }
        Wait started = new Wait(demand);
        wait.set(started);
        started.timeout = limits.schedule(() -> onWaited(started), MAX_WAIT.toMillis());
        if (limits.bytes().mayRead(account)) {
            continueReading(started);
        }
    }

    /**
     * A demand that finds content reads it on the thread that demands; an upstream that writes fast would keep a selector
     * from all other upstreams, whose connections are then not established in time.
     */
    private void demandFairly(int length, Runnable demand) {
        int inARow = bytesInARow + length;
        if (inARow <= MAX_BYTES_IN_A_ROW) {
            bytesInARow = inARow;
            demand.run();
            return;
        }
        bytesInARow = 0;
        limits.execute(demand);
    }

    private void onWaited(Wait ended) {
        limits.bytes().onWaited(account);
        continueReading(ended);
    }

    /** Continues on another thread, as the caller may have locked its exchange. */
    private void continueReading(Wait ended) {
        if (ended != null && wait.compareAndSet(ended, null)) {
            ended.timeout.cancel();
            limits.execute(ended.demand);
        }
    }

    /** Forgets the upstream from which nothing is read, as its attempt has ended. */
    void stopDemand() {
        Wait ended = wait.getAndSet(null);
        if (ended != null) {
            ended.timeout.cancel();
        }
    }
}
