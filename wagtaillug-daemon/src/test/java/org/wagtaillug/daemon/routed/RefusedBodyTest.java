package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RefusedBodyTest {
    private static final long LONGEST_WAIT_MILLIS = 10_000;

    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final List<String> ends = new ArrayList<>();
    private final Callback callback = Callback.from(() -> end("succeeded"), fault -> end("failed"));
    private RefusedBody body;

    private synchronized void end(String how) {
        ends.add(how);
        notifyAll();
    }

    private synchronized List<String> ends() {
        return List.copyOf(ends);
    }

    @BeforeEach
    void start() throws Exception {
        scheduler.start();
        body = new RefusedBody(callback, scheduler);
    }

    @AfterEach
    void stop() throws Exception {
        scheduler.stop();
    }

    /** Guards against a request that ends without an answer, which its caller reads as an empty success. */
    @Test
    void doesNotEndTheRequestBeforeItsRefusalIsWritten() {
        body.onBodyOver();
        assertThat(ends()).isEmpty();
        body.onWritten();
        assertThat(ends()).containsExactly("succeeded");
    }

    @Test
    void endsTheRequestWhenTheCallerHasStoppedSending() {
        body.onWritten();
        assertThat(ends()).isEmpty();
        body.onBodyOver();
        assertThat(ends()).containsExactly("succeeded");
    }

    /** Guards against a connection that a caller holds by sending for ever. */
    @Test
    void endsTheRequestOfACallerThatGoesOnSending() throws Exception {
        body.onWritten();
        synchronized (this) {
            if (ends.isEmpty()) {
                wait(LONGEST_WAIT_MILLIS);
            }
        }
        assertThat(ends()).containsExactly("succeeded");
    }

    @Test
    void endsTheRequestOnceWhateverHappens() {
        body.onFailed(new IllegalStateException("closed"));
        body.onBodyOver();
        body.onWritten();
        assertThat(ends()).containsExactly("failed");
    }
}
