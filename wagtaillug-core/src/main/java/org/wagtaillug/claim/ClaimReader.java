package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/** Follows the claims stream: at most one read at a time, each record once and in order, and notes what is missing. */
final class ClaimReader {
    /** A read that waits at the tail is answered within a second or so; after this long it has failed. */
    static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    /** Reads that fail for longer than this mean that the log is down. */
    static final Duration DOWN_AFTER = Duration.ofSeconds(1);

    private final Duration retention;
    private final RetryDelay delay = new RetryDelay();
    private long next = 1;
    private long askedFrom;
    private Optional<Instant> askedAt = Optional.empty();
    private Instant notBefore = Instant.MIN;
    private Optional<Instant> failingSince = Optional.empty();
    private boolean caughtUp;
    private Instant completeFrom = Instant.MIN;

    ClaimReader(Duration retention) {
        this.retention = retention;
    }

    /**
     * What a read gave that is new.
     *
     * @param entries in order, each given only once
     * @param gap whether records between those before and these were dropped by the log unread
     */
    record News(List<LogBatch.Entry> entries, boolean gap) {
        private static final News NONE = new News(List.of(), false);
    }

    void read(Instant now, Effects effects) {
        failUnanswered(now);
        if (askedAt.isPresent() || now.isBefore(notBefore)) {
            return;
        }
        askedFrom = next;
        askedAt = Optional.of(now);
        effects.add(new Effect.ReadLog(LogStream.CLAIMS, next));
    }

    News answered(LogBatch batch, Instant now) {
        // The answer to a read that was given up on may still come. What it holds is new or known by its offsets, but
        // if
        // it is not the one that is awaited, that one has to be awaited further.
        if (batch.from() == askedFrom) {
            askedAt = Optional.empty();
            delay.reset();
            failingSince = Optional.empty();
        }
        List<LogBatch.Entry> entries = unread(batch);
        boolean gap = batch.oldest() > next;
        if (!gap && !entries.isEmpty() && entries.getFirst().offset() != next) {
            return News.NONE;
        }
        if (gap) {
            caughtUp = false;
            completeFrom = entries.isEmpty()
                    ? now.minus(retention)
                    : entries.getFirst().time();
            next = batch.oldest();
        }
        if (!entries.isEmpty()) {
            next = entries.getLast().offset() + 1;
        }
        caughtUp = caughtUp || next >= batch.end();
        return new News(entries, gap);
    }

    void failed(Instant now) {
        failed(now, now);
    }

    /** Whether every record that the log held at some moment since the start, or since the last gap, has been read. */
    boolean caughtUp() {
        return caughtUp;
    }

    /** Whether reads have failed for so long that waiting for the log makes no sense. */
    boolean down(Instant now) {
        return failingSince.isPresent() && now.isAfter(failingSince.get().plus(DOWN_AFTER));
    }

    /** Every record that the log service took at this time or later was read; older ones may be missing. */
    Instant completeFrom() {
        return completeFrom;
    }

    private List<LogBatch.Entry> unread(LogBatch batch) {
        List<LogBatch.Entry> entries = batch.entries();
        int known = 0;
        while (known < entries.size() && entries.get(known).offset() < next) {
            known++;
        }
        return entries.subList(known, entries.size());
    }

    private void failUnanswered(Instant now) {
        if (askedAt.isPresent() && !now.isBefore(askedAt.get().plus(READ_TIMEOUT))) {
            failed(askedAt.get(), now);
        }
    }

    private void failed(Instant since, Instant now) {
        askedAt = Optional.empty();
        notBefore = now.plus(delay.take());
        if (failingSince.isEmpty()) {
            failingSince = Optional.of(since);
        }
    }
}
