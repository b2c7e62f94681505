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
 * Writes decisions as JSON lines on a thread of its own.
 *
 * <p>Whoever reads the lines may be slow or stop; a decision that waited for it would hold up every request. What does not
 * fit into the queue is dropped and counted, and the count is written with the next line.
 */
final class DecisionLines implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger("wagtaillug.decision");

    /** Some seconds of lines at the busiest: a request writes about five. */
    private static final int MAX_QUEUED_LINES = 4096;

    /** Lines of this time are written together: a wake-up and a write for each would cost more than the line. */
    private static final long COLLECT_MILLIS = 50;

    private static final long CLOSE_MILLIS = 200;

    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final LongAdder dropped = new LongAdder();
    private final Thread writer;
    private long reported;

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
        try {
            while (true) {
                List<Line> lines = new ArrayList<>();
                lines.add(queue.take());
                TimeUnit.MILLISECONDS.sleep(COLLECT_MILLIS);
                queue.drainTo(lines);
                write(lines);
            }
        } catch (InterruptedException closed) {
            List<Line> last = new ArrayList<>();
            queue.drainTo(last);
            write(last);
            Thread.currentThread().interrupt();
        }
    }

    private void write(List<Line> lines) {
        LogSetup.withSingleFlush(() -> {
            for (Line line : lines) {
                LogFields.Builder fields = fields(line);
                long lost = dropped.sum();
                if (lost > reported) {
                    fields.text("lines_dropped_before", Long.toString(lost - reported));
                    reported = lost;
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

    /** Writes what is queued, for as long as that takes within a limit. */
    @Override
    public void close() {
        writer.interrupt();
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
