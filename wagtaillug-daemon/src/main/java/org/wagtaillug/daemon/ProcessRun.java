package org.wagtaillug.daemon;

import java.util.concurrent.CountDownLatch;

/** Runs a daemon from its start until the process is asked to exit, and shuts it down gracefully. */
public final class ProcessRun {
    private static final int EXIT_FAILURE = 1;

    private ProcessRun() {}

    /** The lifecycle of the program that a process runs. */
    public interface Lifecycle {
        /** Starts all components. */
        void start() throws Exception;

        /** Reloads the settings. */
        default void reload() throws Exception {}

        /** Called when the process is asked to exit; may be called by another thread while the process starts. */
        default void onShutdownRequested() {}

        /** Finishes all accepted work. */
        void drain() throws Exception;

        /** Closes all components. */
        void stop() throws Exception;
    }

    /**
     * Runs until the process is asked to exit; halts with exit code 1 on a failure.
     *
     * @param program name of the program, used as prefix of messages
     * @return exit code 0
     */
    public static int serve(String program, Lifecycle lifecycle) {
        CountDownLatch shutdownRequested = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> requestShutdownAndWait(lifecycle, shutdownRequested, closed), "end"));
        HangUpSignal.handle(lifecycle);
        try {
            lifecycle.start();
            shutdownRequested.await();
            lifecycle.drain();
            lifecycle.stop();
        } catch (Exception fault) {
            System.err.println(program + ": cannot serve: " + fault);
            Runtime.getRuntime().halt(EXIT_FAILURE);
        }
        closed.countDown();
        return 0;
    }

    /** Delays the exit after a signal until the node has drained: requests that are cut here would be lost. */
    private static void requestShutdownAndWait(
            Lifecycle lifecycle, CountDownLatch shutdownRequested, CountDownLatch closed) {
        lifecycle.onShutdownRequested();
        shutdownRequested.countDown();
        try {
            closed.await();
            // Otherwise the exit code would be that of the signal, although the shutdown was orderly.
            Runtime.getRuntime().halt(0);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
