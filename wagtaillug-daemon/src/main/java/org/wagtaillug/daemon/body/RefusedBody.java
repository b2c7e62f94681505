package org.wagtaillug.daemon.body;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Completes a request that is refused while its body is still being received.
 *
 * <p>Closing the connection with unread bytes would reset it, and the caller would lose the part of the refusal that it
 * has not read yet. The request is therefore completed only when the refusal is written and the caller has stopped
 * sending, or after a short linger time.
 */
final class RefusedBody {
    /** Covers callers that are slow to read; a caller that has read the refusal closes its connection earlier. */
    private static final long LINGER_MILLIS = 3000;

    private final Callback callback;
    private final Scheduler scheduler;
    private boolean bodyEnded;
    private boolean written;
    private boolean completed;

    /**
     * Creates the completion of a request whose body is being read.
     *
     * @param callback completes the request
     * @param scheduler runs the end of the linger time
     */
    RefusedBody(Callback callback, Scheduler scheduler) {
        this.callback = callback;
        this.scheduler = scheduler;
    }

    /** Called when the caller has stopped sending. */
    void onBodyEnded() {
        boolean completedNow;
        synchronized (this) {
            bodyEnded = true;
            completedNow = completeIfFinished();
        }
        if (completedNow) {
            callback.succeeded();
        }
    }

    /** Called when the refusal is written. */
    void onWritten() {
        boolean completedNow;
        synchronized (this) {
            written = true;
            completedNow = completeIfFinished();
        }
        if (completedNow) {
            callback.succeeded();
            return;
        }
        scheduler.schedule(this::onBodyEnded, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Called when the refusal could not be written. */
    void onWriteFailed(Throwable fault) {
        synchronized (this) {
            if (completed) {
                return;
            }
            completed = true;
        }
        callback.failed(fault);
    }

    /** Marks the request as completed if both conditions are met; returns whether it did. */
    private boolean completeIfFinished() {
        if (completed || !written || !bodyEnded) {
            return false;
        }
        completed = true;
        return true;
    }
}
