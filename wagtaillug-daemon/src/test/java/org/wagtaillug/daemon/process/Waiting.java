package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits for conditions in other processes. The time-out only ends a test that would hang; no time is measured with it.
 */
final class Waiting {
    static final Duration TIMEOUT = Duration.ofSeconds(90);

    private static final long POLL_INTERVAL_MILLIS = 50;

    private Waiting() {}

    /** Polls until the condition holds; fails after {@link #TIMEOUT}. */
    static void until(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(what).isLessThan(end);
            pause();
        }
    }

    private static void pause() {
        try {
            new CountDownLatch(1).await(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting", interrupted);
        }
    }
}
