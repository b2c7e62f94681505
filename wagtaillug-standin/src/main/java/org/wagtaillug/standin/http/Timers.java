package org.wagtaillug.standin.http;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The clock and the few timer threads that all stand-ins of one process share, so that no thread waits for a request. */
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

    /** Returns the present time in Unix milliseconds. */
    public long now() {
        return System.currentTimeMillis();
    }

    /** Runs a task on a timer thread as soon as one is free. */
    public void execute(Runnable task) {
        executor.execute(guarded(task));
    }

    /** Runs a task once after a delay in milliseconds. */
    public Future<?> after(long millis, Runnable task) {
        return executor.schedule(guarded(task), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task again and again, with a pause in milliseconds between two runs. */
    public Future<?> every(long millis, Runnable task) {
        return executor.scheduleWithFixedDelay(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Ends the threads; what is asked for afterwards is never run. */
    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** A periodic task that throws is never run again by the executor, which would freeze a stand-in without a word. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException failure) {
                LOGGER.log(System.Logger.Level.ERROR, "timer task failed", failure);
            }
        };
    }
}
