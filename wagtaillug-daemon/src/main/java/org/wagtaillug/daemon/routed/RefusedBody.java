package org.wagtaillug.daemon.routed;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The end of a request that is refused while its body is still on its way.
 *
 * <p>Closing the connection with unread bytes would reset it, and the caller would lose what it has not read of the refusal:
 * the request ends when the refusal is written and the caller has stopped sending, or a little later.
 */
final class RefusedBody {
    private static final long LINGER_MILLIS = 150;

    private final Callback callback;
    private final Scheduler scheduler;
    private boolean bodyOver;
    private boolean written;
    private boolean completed;

    /**
     * A request whose body is being read.
     *
     * @param callback ends the request
     * @param scheduler runs the end of the lingering
     */
    RefusedBody(Callback callback, Scheduler scheduler) {
        this.callback = callback;
        this.scheduler = scheduler;
    }

    /** The caller has stopped sending. */
    void onBodyOver() {
        boolean completes;
        synchronized (this) {
            bodyOver = true;
            completes = complete();
        }
        if (completes) {
            callback.succeeded();
        }
    }

    /** The refusal is on its way to the caller. */
    void onWritten() {
        boolean completes;
        synchronized (this) {
            written = true;
            completes = complete();
        }
        if (completes) {
            callback.succeeded();
            return;
        }
        scheduler.schedule(this::onBodyOver, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The refusal could not be written. */
    void onFailed(Throwable fault) {
        synchronized (this) {
            if (completed) {
                return;
            }
            completed = true;
        }
        callback.failed(fault);
    }

    /** Whether the request ends now. */
    private boolean complete() {
        if (completed || !written || !bodyOver) {
            return false;
        }
        completed = true;
        return true;
    }
}
