package org.wagtaillug.daemon.body;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RefusedBodyTest {
    private static final long MAX_WAIT_MILLIS = 10_000;

    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final List<String> outcomes = new ArrayList<>();
    private final Callback callback = Callback.from(() -> recordOutcome("succeeded"), fault -> recordOutcome("failed"));
    private RefusedBody body;

    private synchronized void recordOutcome(String outcome) {
        outcomes.add(outcome);
        notifyAll();
    }

    private synchronized List<String> outcomes() {
        return List.copyOf(outcomes);
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

    /** Guards against completing a request without an answer, which its caller reads as an empty success. */
    @Test
    void doesNotCompleteTheRequestBeforeItsRefusalIsWritten() {
        body.onBodyEnded();
        assertThat(outcomes()).isEmpty();
        body.onWritten();
        assertThat(outcomes()).containsExactly("succeeded");
    }

    @Test
    void completesTheRequestWhenTheCallerHasStoppedSending() {
        body.onWritten();
        assertThat(outcomes()).isEmpty();
        body.onBodyEnded();
        assertThat(outcomes()).containsExactly("succeeded");
    }

    /** Guards against a caller that holds a connection by never ceasing to send. */
    @Test
    void completesTheRequestOfACallerThatKeepsSending() throws Exception {
        body.onWritten();
        synchronized (this) {
            if (outcomes.isEmpty()) {
                wait(MAX_WAIT_MILLIS);
            }
        }
        assertThat(outcomes()).containsExactly("succeeded");
    }

    @Test
    void completesTheRequestOnlyOnce() {
        body.onWriteFailed(new IllegalStateException("closed"));
        body.onBodyEnded();
        body.onWritten();
        assertThat(outcomes()).containsExactly("failed");
    }
}
