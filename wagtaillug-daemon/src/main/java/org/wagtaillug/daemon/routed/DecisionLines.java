package org.wagtaillug.daemon.routed;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import org.wagtaillug.logging.LogFields;
import org.wagtaillug.node.Decision;

/**
 * Writes decisions as JSON lines on a thread of its own.
 *
 * <p>Whoever reads the lines may be slow or stop; a decision that waited for it would hold up every request. What does not
 * fit into the queue is dropped and counted, and the count is written with the next line.
 */
final class DecisionLines implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger("wagtaillug.decision");

    /** Some seconds of lines at the busiest: a request writes about five. */
    private static final int LONGEST_QUEUE = 4096;

    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(LONGEST_QUEUE);
    private final LongAdder dropped = new LongAdder();
    private final Thread writer;

    private record Line(Decision decision, Instant time) {}

    DecisionLines() {
        writer = new Thread(this::write, "decisions");
        writer.setDaemon(true);
        writer.start();
    }

    /** Queues a line; never waits. */
    void add(Decision decision, Instant time) {
        if (!queue.offer(new Line(decision, time))) {
            dropped.increment();
        }
    }

    /** How many lines were dropped so far. */
    long dropped() {
        return dropped.sum();
    }

    private void write() {
        long told = 0;
        try {
            while (true) {
                Line line = queue.take();
                LogFields.Builder fields = fields(line);
                long lost = dropped.sum();
                if (lost > told) {
                    fields.text("lines_dropped_before", Long.toString(lost - told));
                    told = lost;
                }
                LOGGER.log(Level.INFO, "{0}", fields.build());
            }
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }

    private static LogFields.Builder fields(Line line) {
        LogFields.Builder fields = LogFields.builder()
                .text("at", line.time().toString())
                .text("decision", line.decision().kind());
        line.decision().fields().forEach(fields::text);
        return fields;
    }

    @Override
    public void close() {
        writer.interrupt();
    }
}
