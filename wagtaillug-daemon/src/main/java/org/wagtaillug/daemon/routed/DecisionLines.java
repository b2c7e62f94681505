package org.wagtaillug.daemon.routed;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import org.wagtaillug.daemon.Json;
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
                ObjectNode json = json(line);
                long lost = dropped.sum();
                if (lost > told) {
                    json.put("lines_dropped_before", lost - told);
                    told = lost;
                }
                LOGGER.log(Level.INFO, Json.text(json));
            }
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }

    private static ObjectNode json(Line line) {
        ObjectNode json = Json.object();
        json.put("at", line.time().toString());
        json.put("decision", line.decision().kind());
        line.decision().fields().forEach(json::put);
        return json;
    }

    @Override
    public void close() {
        writer.interrupt();
    }
}
