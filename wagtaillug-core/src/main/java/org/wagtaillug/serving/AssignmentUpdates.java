package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.load.AttemptReport;

/** Collects the reports to the nodes that assign engines, so that one message carries those of a short time. */
final class AssignmentUpdates {
    private static final Duration INTERVAL = Duration.ofMillis(20);

    /** Reports in one message. */
    private static final int MAX_REPORTS = 100;

    private final Map<PoolId, Batch> batches = new HashMap<>();
    private final BiConsumer<PoolId, List<AttemptReport>> sender;

    private record Batch(Instant due, List<AttemptReport> reports) {}

    AssignmentUpdates(BiConsumer<PoolId, List<AttemptReport>> sender) {
        this.sender = sender;
    }

    void add(PoolId pool, AttemptReport report, Instant now) {
        Batch batch = batches.computeIfAbsent(pool, id -> new Batch(now.plus(INTERVAL), new ArrayList<>()));
        batch.reports().add(report);
        if (batch.reports().size() >= MAX_REPORTS) {
            flush(pool);
        }
    }

    /** Sends the reports of a pool if one is about a request, so that they arrive before its next attempt is assigned. */
    void flushBefore(PoolId pool, RequestId request) {
        Batch batch = batches.get(pool);
        if (batch != null
                && batch.reports().stream().anyMatch(report -> report.request().equals(request))) {
            flush(pool);
        }
    }

    private void flush(PoolId pool) {
        sender.accept(pool, batches.remove(pool).reports());
    }

    /** Sends the reports that are due. */
    void onTick(Instant now) {
        for (PoolId pool : List.copyOf(batches.keySet())) {
            if (!now.isBefore(batches.get(pool).due())) {
                flush(pool);
            }
        }
    }

    /** Discards the reports of a pool, as its engines are assigned by another node. */
    void discard(PoolId pool) {
        batches.remove(pool);
    }

    boolean isEmpty() {
        return batches.isEmpty();
    }
}
