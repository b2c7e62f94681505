package org.wagtaillug.standin.http;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The clock and timer threads shared by all stand-ins of a process, so that no thread blocks on a request. */
public final class Timers implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(Timers.class.getName());
    private static final int THREADS = 4;

    private final ScheduledThreadPoolExecutor executor;

    /** Starts the timer threads; they are daemon threads. */
    public Timers() {
        executor = new ScheduledThreadPoolExecutor(THREADS, runnable -> {
            Thread thread = new Thread(runnable, "standin-timer");
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Returns the current time in Unix milliseconds. */
    public long now() {
        return System.currentTimeMillis();
    }

    /** Runs a task on the next free timer thread. */
    public void execute(Runnable task) {
        executor.execute(logFailures(task));
    }

    /** Runs a task once after a delay in milliseconds. */
    public Future<?> after(long millis, Runnable task) {
        return executor.schedule(logFailures(task), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task repeatedly, with a delay in milliseconds between two runs. */
    public Future<?> every(long millis, Runnable task) {
        return executor.scheduleWithFixedDelay(logFailures(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Stops the threads; tasks submitted afterwards are discarded. */
    @Override
    public void close() {
        executor.shutdownNow();
    }

    /**
     * Logs exceptions of a task. The executor never runs a periodic task again after an exception, which would silently
     * freeze a stand-in.
     */
    private static Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException failure) {
                LOGGER.log(System.Logger.Level.ERROR, "timer task failed", failure);
            }
        };
    }
}
