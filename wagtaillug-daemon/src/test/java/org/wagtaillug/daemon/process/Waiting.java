package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Bounded waiting for what other processes do. The bound only ends a test that would hang; nothing is measured by it. */
final class Waiting {
    static final Duration BOUND = Duration.ofSeconds(90);

    private static final long PERIOD_MILLIS = 50;

    private Waiting() {}

    /** Asks again and again until the condition holds; fails after {@link #BOUND}. */
    static void until(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + BOUND.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(what).isLessThan(end);
            pause();
        }
    }

    private static void pause() {
        try {
            new CountDownLatch(1).await(PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting", interrupted);
        }
    }
}
