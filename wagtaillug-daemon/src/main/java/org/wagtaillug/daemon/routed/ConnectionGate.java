package org.wagtaillug.daemon.routed;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.wagtaillug.admission.ConnectionAdmission;
import org.wagtaillug.node.Decision;

/** Decides on each new connection of a caller, and logs at intervals how many were closed. Thread-safe. */
final class ConnectionGate {
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final ConnectionAdmission admission = new ConnectionAdmission();
    private final IntSupplier open;
    private final WorkDelay delay;
    private final Supplier<Instant> clock;
    private final Consumer<Decision> log;
    private long loggedClosed;
    private Instant loggedAt = Instant.EPOCH;

    /**
     * Creates an instance.
     *
     * @param open the number of open connections
     */
    ConnectionGate(IntSupplier open, WorkDelay delay, Supplier<Instant> clock, Consumer<Decision> log) {
        this.open = open;
        this.delay = delay;
        this.clock = clock;
        this.log = log;
    }

    /** Whether the next connection is accepted. */
    boolean admit() {
        Duration current = delay.current();
        int connections = open.getAsInt();
        Instant now = clock.get();
        synchronized (this) {
            boolean admitted = admission.admit(connections, current, now);
            if (!admitted) {
                logClosed(connections, current, now);
            }
            return admitted;
        }
    }

    private void logClosed(int connections, Duration current, Instant now) {
        if (now.isBefore(loggedAt.plus(LOG_INTERVAL))) {
            return;
        }
        log.accept(Decision.builder("connections_closed")
                .field("closed", admission.closed() - loggedClosed)
                .field("open", connections)
                .field("delay_ms", current.toMillis())
                .build());
        loggedAt = now;
        loggedClosed = admission.closed();
    }
}
