package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Reads the claims stream with at most one read in flight, delivers each record once and in order, and detects gaps.
 */
final class ClaimReader {
    /** A read that waits at the tail is answered within about a second; after this time it counts as failed. */
    static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    /** The log counts as unavailable when reads have failed for longer than this. */
    static final Duration UNAVAILABLE_AFTER = Duration.ofSeconds(1);

    private final Duration retention;
    private final RetryBackoff backoff = new RetryBackoff();
    private long nextOffset = 1;
    private long requestedFrom;
    private Optional<Instant> pendingSince = Optional.empty();
    private Instant nextReadAt = Instant.MIN;
    private Optional<Instant> failingSince = Optional.empty();
    private boolean caughtUp;
    private Instant completeFrom = Instant.MIN;

    ClaimReader(Duration retention) {
        this.retention = retention;
    }

    /**
     * The new records of a read.
     *
     * @param entries in order; each entry is delivered only once
     * @param gap whether the log dropped records between the previous entries and these before they were read
     */
    record ReadResult(List<LogBatch.Entry> entries, boolean gap) {
        private static final ReadResult EMPTY = new ReadResult(List.of(), false);
    }

    void read(Instant now, Effects effects) {
        timeOutPendingRead(now);
        if (pendingSince.isPresent() || now.isBefore(nextReadAt)) {
            return;
        }
        requestedFrom = nextOffset;
        pendingSince = Optional.of(now);
        effects.add(new Effect.ReadLog(LogStream.CLAIMS, nextOffset));
    }

    ReadResult onBatch(LogBatch batch, Instant now) {
        // The response to a read that timed out may still arrive. Its entries are valid, but if it is not the response
        // to the pending read, that read stays pending.
        if (batch.from() == requestedFrom) {
            pendingSince = Optional.empty();
            backoff.reset();
            failingSince = Optional.empty();
        }
        List<LogBatch.Entry> entries = unreadEntries(batch);
        boolean gap = batch.oldest() > nextOffset;
        if (!gap && !entries.isEmpty() && entries.getFirst().offset() != nextOffset) {
            return ReadResult.EMPTY;
        }
        if (gap) {
            caughtUp = false;
            completeFrom = entries.isEmpty()
                    ? now.minus(retention)
                    : entries.getFirst().time();
            nextOffset = batch.oldest();
        }
        if (!entries.isEmpty()) {
            nextOffset = entries.getLast().offset() + 1;
        }
        caughtUp = caughtUp || nextOffset >= batch.end();
        return new ReadResult(entries, gap);
    }

    void onReadFailed(Instant now) {
        onReadFailed(now, now);
    }

    /** Whether every record that the log held at some moment since the start, or since the last gap, has been read. */
    boolean caughtUp() {
        return caughtUp;
    }

    /** Whether reads have failed for so long that requests should not wait for the log. */
    boolean isUnavailable(Instant now) {
        return failingSince.isPresent() && now.isAfter(failingSince.get().plus(UNAVAILABLE_AFTER));
    }

    /** Every record that the log service accepted at or after this time has been read; older ones may be missing. */
    Instant completeFrom() {
        return completeFrom;
    }

    private List<LogBatch.Entry> unreadEntries(LogBatch batch) {
        List<LogBatch.Entry> entries = batch.entries();
        int alreadyRead = 0;
        while (alreadyRead < entries.size() && entries.get(alreadyRead).offset() < nextOffset) {
            alreadyRead++;
        }
        return entries.subList(alreadyRead, entries.size());
    }

    private void timeOutPendingRead(Instant now) {
        if (pendingSince.isPresent() && !now.isBefore(pendingSince.get().plus(READ_TIMEOUT))) {
            onReadFailed(pendingSince.get(), now);
        }
    }

    private void onReadFailed(Instant since, Instant now) {
        pendingSince = Optional.empty();
        nextReadAt = now.plus(backoff.next());
        if (failingSince.isEmpty()) {
            failingSince = Optional.of(since);
        }
    }
}
