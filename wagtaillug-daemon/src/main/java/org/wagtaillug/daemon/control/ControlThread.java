package org.wagtaillug.daemon.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Runs all decisions of the node sequentially on one thread; other threads submit events and the resulting effects are
 * passed to a runner.
 *
 * @param <N> type of the node that makes decisions
 * @param <E> type of its events
 * @param <F> type of its effects
 */
public final class ControlThread<N, E, F> implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(ControlThread.class.getName());
    /** The tick interval of a node that does not define one. */
    public static final Duration DEFAULT_TICK_INTERVAL = Duration.ofMillis(20);

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final N node;
    private final DecisionFunction<N, E, F> decide;
    private final E tick;
    private final Supplier<Instant> clock;
    private final Function<N, Duration> tickInterval;
    private final ScheduledExecutorService executor;
    private volatile Consumer<F> effects = effect -> {};
    private volatile long threadId;
    private ScheduledFuture<?> nextTick;
    private boolean ticking;

    /**
     * Handles one event and returns the resulting effects, in order.
     *
     * @param <N> type of the node that makes decisions
     * @param <E> type of its events
     * @param <F> type of its effects
     */
    @FunctionalInterface
    public interface DecisionFunction<N, E, F> {
        /** Handles one event. */
        List<F> handle(N node, E event, Instant now);
    }

    /** Creates the thread; nothing runs before {@link #start}. */
    public ControlThread(N node, DecisionFunction<N, E, F> decide, E tick, Supplier<Instant> clock) {
        this(node, decide, tick, clock, ignored -> DEFAULT_TICK_INTERVAL);
    }

    /**
     * Creates the thread; nothing runs before {@link #start}.
     *
     * @param clock gives the time that is passed with the events
     * @param tickInterval gives the time until the next tick in the present state of the node
     */
    public ControlThread(
            N node,
            DecisionFunction<N, E, F> decide,
            E tick,
            Supplier<Instant> clock,
            Function<N, Duration> tickInterval) {
        this.node = node;
        this.decide = decide;
        this.tick = tick;
        this.clock = clock;
        this.tickInterval = tickInterval;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "control");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Starts the ticks; effects are passed to the given runner on the control thread. */
    public void start(Consumer<F> runner) {
        effects = runner;
        executor.execute(() -> {
            threadId = Thread.currentThread().threadId();
            ticking = true;
            tick();
        });
    }

    /** Submits an event from any thread. */
    public void submit(E event) {
        try {
            executor.execute(() -> {
                handle(event);
                advanceTick();
            });
        } catch (RejectedExecutionException closed) {
            LOGGER.log(
                    Level.DEBUG,
                    "event ignored after close: {0}",
                    event.getClass().getSimpleName());
        }
    }

    /** Reads the node's state on the control thread. */
    public <T> CompletableFuture<T> query(BiFunction<N, Instant, T> question) {
        return CompletableFuture.supplyAsync(() -> question.apply(node, clock.get()), executor);
    }

    /** Runs a task on the control thread, after the events submitted so far; ignored after close. */
    public void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException closed) {
            LOGGER.log(Level.DEBUG, "task ignored after close");
        }
    }

    /** The processor time of the thread, in nanoseconds. */
    public long cpuNanos() {
        return THREADS.getThreadCpuTime(threadId);
    }

    private void tick() {
        handle(tick);
        schedule(tickInterval.apply(node));
    }

    private void schedule(Duration interval) {
        nextTick = executor.schedule(this::tick, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Brings the next tick forward if, after an event, the node needs it earlier than scheduled. */
    private void advanceTick() {
        if (!ticking) {
            return;
        }
        Duration interval = tickInterval.apply(node);
        if (nextTick.getDelay(TimeUnit.MILLISECONDS) > interval.toMillis() && nextTick.cancel(false)) {
            schedule(interval);
        }
    }

    private void handle(E event) {
        List<F> produced = decide(event);
        for (F effect : produced) {
            run(effect);
        }
    }

    /**
     * An exception in one event must not end the thread: all later requests to the node would hang without an answer.
     */
    private List<F> decide(E event) {
        try {
            return decide.handle(node, event, clock.get());
        } catch (RuntimeException fault) {
            LOGGER.log(Level.ERROR, "event failed: " + event.getClass().getSimpleName(), fault);
            return List.of();
        }
    }

    private void run(F effect) {
        try {
            effects.accept(effect);
        } catch (RuntimeException fault) {
            LOGGER.log(Level.ERROR, "effect failed: " + effect.getClass().getSimpleName(), fault);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
