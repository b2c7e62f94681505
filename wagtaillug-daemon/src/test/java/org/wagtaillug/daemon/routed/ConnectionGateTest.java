package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtaillug.admission.ConnectionAdmission;
import org.wagtaillug.node.Decision;

/** The delay of the node's threads, and the log of closed connections. */
class ConnectionGateTest {
    private final List<Runnable> waiting = new ArrayList<>();
    private final List<Decision> log = new ArrayList<>();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private int open;
    private final WorkDelay delay = new WorkDelay(List.of(waiting::add, Runnable::run), () -> now);
    private final ConnectionGate gate = new ConnectionGate(() -> open, delay, () -> now, log::add);

    private void runWaiting() {
        List<Runnable> due = List.copyOf(waiting);
        waiting.clear();
        due.forEach(Runnable::run);
    }

    @Test
    void theDelayIsThatOfTheSlowestExecutor() {
        delay.current();
        now = now.plusMillis(300);
        assertThat(delay.current()).isEqualTo(Duration.ofMillis(300));
        runWaiting();
        now = now.plusMillis(20);
        assertThat(delay.current()).isEqualTo(Duration.ofMillis(300));
        now = now.plusMillis(60);
        delay.current();
        runWaiting();
        assertThat(delay.current()).isEqualTo(Duration.ZERO);
    }

    /** Guards against a delay of long ago that closes connections now. */
    @Test
    void oldDelaysDoNotCount() {
        delay.current();
        now = now.plusSeconds(2);
        runWaiting();
        now = now.plusSeconds(5);
        delay.current();
        assertThat(delay.current()).isEqualTo(Duration.ZERO);
    }

    /** Guards against a line in the log for each closed connection. */
    @Test
    void closedConnectionsAreLoggedOnceASecond() {
        open = ConnectionAdmission.MAX_OPEN_CONNECTIONS;
        for (int connection = 0; connection < 300; connection++) {
            assertThat(gate.admit()).isFalse();
            now = now.plusMillis(10);
        }
        assertThat(log).hasSize(3);
        assertThat(log.get(1).fields()).containsEntry("closed", "100").containsEntry("open", "1500");
    }
}
