package org.wagtaillug.daemon.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Event;
import org.wagtaillug.node.Node;

/** Runs all decisions of the node one after the other; everything else hands events to it and gets effects from it. */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(ControlThread.class.getName());
    private static final long TICK_MILLIS = 20;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final Node node;
    private final MonotonicClock clock;
    private final ScheduledExecutorService executor;
    private volatile Consumer<Effect> effects = effect -> {};
    private volatile long cpuNanos;

    /** Prepares the thread; nothing runs before {@link #start}. */
    public ControlThread(Node node, MonotonicClock clock) {
        this.node = node;
        this.clock = clock;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "control");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Begins to let time pass; effects go to the given runner, on the control thread. */
    public void start(Consumer<Effect> runner) {
        effects = runner;
        executor.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Hands in an event from any thread. */
    public void submit(Event event) {
        try {
            executor.execute(() -> handle(event));
        } catch (RejectedExecutionException closed) {
            LOGGER.log(Level.DEBUG, "event after the end: {0}", event.getClass().getSimpleName());
        }
    }

    /** Reads the node's state on the control thread. */
    public <T> CompletableFuture<T> query(BiFunction<Node, Instant, T> question) {
        return CompletableFuture.supplyAsync(() -> question.apply(node, clock.now()), executor);
    }

    /** The processor time that the thread has used, in nanoseconds. */
    public long cpuNanos() {
        return cpuNanos;
    }

    private void tick() {
        handle(new Event.Tick());
        cpuNanos = THREADS.getCurrentThreadCpuTime();
    }

    private void handle(Event event) {
        List<Effect> wanted = decide(event);
        for (Effect effect : wanted) {
            run(effect);
        }
    }

    /** A fault in one event must not end the thread: every later request of the node would hang without an answer. */
    private List<Effect> decide(Event event) {
        try {
            return node.handle(event, clock.now());
        } catch (RuntimeException fault) {
            LOGGER.log(Level.ERROR, "event failed: " + event.getClass().getSimpleName(), fault);
            return List.of();
        }
    }

    private void run(Effect effect) {
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
