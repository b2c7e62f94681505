package org.wagtaillug.daemon.routed;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.eclipse.jetty.util.thread.Scheduler;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.node.Decision;

/**
 * Bounds the bytes held for slow readers. Bytes are counted from the start, and bounded once the limits are switched on.
 * Thread-safe.
 */
final class ReaderLimits {
    private static final Logger LOGGER = System.getLogger(ReaderLimits.class.getName());

    private final HeldBytes bytes;
    private final Executor executor;
    private final Supplier<Scheduler> scheduler;
    private final BiConsumer<HeldBytes.Reason, Decision> onEnded;
    private final Supplier<Instant> clock;
    private volatile boolean active;

    /**
     * Creates limits that are switched off.
     *
     * @param executor ends exchanges and continues reading from upstreams
     * @param onEnded receives the reason and the log line of each exchange that is ended
     */
    ReaderLimits(
            HeldBytes.Bounds bounds,
            Executor executor,
            Supplier<Scheduler> scheduler,
            BiConsumer<HeldBytes.Reason, Decision> onEnded,
            Supplier<Instant> clock) {
        bytes = new HeldBytes(bounds);
        this.executor = executor;
        this.scheduler = scheduler;
        this.onEnded = onEnded;
        this.clock = clock;
    }

    /** Creates limits that are never switched on. */
    static ReaderLimits none() {
        return new ReaderLimits(
                new HeldBytes.Bounds(Long.MAX_VALUE, Long.MAX_VALUE),
                Runnable::run,
                () -> {
                    throw new IllegalStateException("limits that are off schedule nothing");
                },
                (reason, decision) -> {},
                Instant::now);
    }

    /** Switches the limits on. */
    void enable() {
        active = true;
    }

    boolean active() {
        return active;
    }

    /** The bytes held for all exchanges. */
    long total() {
        return bytes.total();
    }

    /**
     * Creates the account of an exchange that holds nothing yet.
     *
     * @param end ends the exchange; runs at most once
     */
    ExchangeBytes open(RequestId request, Runnable end) {
        return new ExchangeBytes(this, new HeldBytes.Account(request, end));
    }

    HeldBytes bytes() {
        return bytes;
    }

    Instant now() {
        return clock.get();
    }

    void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException stopping) {
            LOGGER.log(Level.DEBUG, "the node stops, which ends all exchanges: {0}", stopping);
        }
    }

    Scheduler.Task schedule(Runnable task, long millis) {
        return scheduler.get().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    /** Ends exchanges until the bounds hold again, after one has taken more bytes. */
    void onGrown(HeldBytes.Account account, Instant now) {
        if (!active) {
            return;
        }
        Optional<HeldBytes.Ending> ending = bytes.chooseEnding(account, now);
        while (ending.isPresent()) {
            end(ending.get());
            ending = bytes.chooseEnding(account, now);
        }
    }

    private void end(HeldBytes.Ending ending) {
        Decision decision = Decision.builder("reader_ended")
                .field("request", ending.account().request())
                .field("reason", ending.reason())
                .field("held_bytes", ending.held())
                .field("read_bytes", ending.read())
                .field("total_bytes", ending.total())
                .field("bound_bytes", ending.bound())
                .build();
        onEnded.accept(ending.reason(), decision);
        // The exchange that has grown is locked by this thread; the one that is ended has a lock of its own.
        execute(ending.account()::end);
    }
}
