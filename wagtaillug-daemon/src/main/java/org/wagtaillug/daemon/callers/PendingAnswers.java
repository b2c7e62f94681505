package org.wagtaillug.daemon.callers;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.Callback;

/**
 * Counts the requests whose answers are not completely written. An answer is complete when its last byte is written,
 * not when writing starts: with a slow reader, seconds pass in between.
 *
 * <p>Thread-safe.
 */
final class PendingAnswers {
    private int pending;

    /** Counts a request until its callback is completed. */
    synchronized Callback count(Callback callback) {
        pending++;
        return Callback.from(callback, this::written);
    }

    private synchronized void written() {
        pending--;
        notifyAll();
    }

    /**
     * Waits until no answer is pending.
     *
     * @return false on a time-out
     */
    synchronized boolean awaitEmpty(Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (pending > 0) {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                return false;
            }
            TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
        }
        return true;
    }
}
