package org.wagtaillug.daemon.routed;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.wagtaillug.logging.LogFields;
import org.wagtaillug.logging.LogSetup;
import org.wagtaillug.node.Decision;

/**
 * Writes decisions as JSON lines on a separate thread.
 *
 * <p>The reader of the log may be slow or stop reading; a control thread that waited for it would delay every request.
 * Lines that do not fit into the queue are dropped and counted, and the count is written with the next line.
 */
final class AsyncDecisionLog implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger("wagtaillug.decision");

    /** Holds the lines of some seconds at peak load; a request writes about five. */
    private static final int MAX_QUEUED_LINES = 4096;

    /**
     * Lines are collected for this time and written together: one wake-up and one write for each line would cost more
     * than the line itself.
     */
    private static final long COLLECTION_MILLIS = 50;

    private static final long CLOSE_TIMEOUT_MILLIS = 200;

    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final LongAdder dropped = new LongAdder();
    private final Thread writer;
    private long reportedDrops;

    private record Line(Decision decision, Instant time) {}

    AsyncDecisionLog() {
        writer = new Thread(this::write, "decisions");
        writer.setDaemon(true);
        writer.start();
    }

    /** Queues a line without blocking. */
    void add(Decision decision, Instant time) {
        if (!queue.offer(new Line(decision, time))) {
            dropped.increment();
        }
    }

    /** The number of lines dropped since the start. */
    long dropped() {
        return dropped.sum();
    }

    private void write() {
        try {
            while (true) {
                List<Line> lines = new ArrayList<>();
                lines.add(queue.take());
                TimeUnit.MILLISECONDS.sleep(COLLECTION_MILLIS);
                queue.drainTo(lines);
                write(lines);
            }
        } catch (InterruptedException closed) {
            List<Line> remaining = new ArrayList<>();
            queue.drainTo(remaining);
            write(remaining);
            Thread.currentThread().interrupt();
        }
    }

    private void write(List<Line> lines) {
        LogSetup.withSingleFlush(() -> {
            for (Line line : lines) {
                LogFields.Builder fields = fields(line);
                long total = dropped.sum();
                if (total > reportedDrops) {
                    fields.text("lines_dropped_before", Long.toString(total - reportedDrops));
                    reportedDrops = total;
                }
                LOGGER.log(Level.INFO, "{0}", fields.build());
            }
        });
    }

    private static LogFields.Builder fields(Line line) {
        LogFields.Builder fields = LogFields.builder()
                .text("at", line.time().toString())
                .text("decision", line.decision().kind());
        line.decision().fields().forEach(fields::text);
        return fields;
    }

    /** Writes the queued lines, waiting no longer than a fixed time-out. */
    @Override
    public void close() {
        writer.interrupt();
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
