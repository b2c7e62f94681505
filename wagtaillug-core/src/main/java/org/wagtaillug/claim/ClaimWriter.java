package org.wagtaillug.claim;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Appends queued records to the claims stream, many records per append and one append at a time, at a rate that leaves
 * capacity for the other nodes.
 *
 * <p>Outcomes and abandonments can safely be appended more than once because the claim table counts only the first one.
 * Claims cannot: an append whose acknowledgement was lost may already be on the log, or may reach it after the request
 * was told that it did not run. A claim that may be in flight is therefore never appended again.
 */
final class ClaimWriter {
    /** Maximum size of a batch in bytes, below the log service's limit of 262,144 bytes per record. */
    static final int MAX_BATCH_BYTES = 200_000;

    /** Maximum size in bytes of a response that can be recorded as an outcome. */
    static final int MAX_OUTPUT_BYTES = 190_000;

    /** An append that is not acknowledged within this time is treated as one that may or may not take effect. */
    static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

    /** Generous upper bound for the field tags, lengths and timestamps of one record, in bytes. */
    private static final int RECORD_OVERHEAD_BYTES = 200;

    /**
     * An append that has been sent and not yet acknowledged.
     *
     * @param append the append number
     * @param records the records in the batch
     * @param sentAt when it was sent
     */
    private record InFlightAppend(long append, List<ClaimRecord> records, Instant sentAt) {}

    private final Duration minAppendInterval;
    private final AppendRateLimiter rateLimiter;
    private final Deque<ClaimRecord> queue = new ArrayDeque<>();
    private final RetryBackoff backoff = new RetryBackoff();
    private final Set<Long> timedOutAppends = new HashSet<>();
    private Optional<InFlightAppend> inFlight = Optional.empty();
    private Instant nextAppendAt = Instant.MIN;

    ClaimWriter(Duration minAppendInterval, int appendsPerSecond) {
        this.minAppendInterval = minAppendInterval;
        this.rateLimiter = new AppendRateLimiter(appendsPerSecond);
    }

    void add(ClaimRecord record) {
        queue.add(record);
    }

    /** Removes a record that has not been sent yet. Returns whether it was still queued. */
    boolean remove(ClaimRecord record) {
        return queue.remove(record);
    }

    /** Drops a record that was read from the log, so that it is not appended again if its acknowledgement was lost. */
    void confirm(ClaimRecord record) {
        queue.remove(record);
    }

    boolean idle() {
        return queue.isEmpty() && inFlight.isEmpty();
    }

    /**
     * Appends queued records if no append is in flight and the rate limit allows it.
     *
     * @param stillNeeded which records still have to be written; the others are dropped from the queue
     */
    void flush(Predicate<ClaimRecord> stillNeeded, Instant now, Effects effects) {
        timeOutInFlightAppend(now);
        if (inFlight.isPresent() || now.isBefore(nextAppendAt)) {
            return;
        }
        queue.removeIf(stillNeeded.negate());
        if (queue.isEmpty() || !rateLimiter.tryAcquire(now)) {
            return;
        }
        List<ClaimRecord> records = nextBatch();
        long append = effects.nextAppend();
        inFlight = Optional.of(new InFlightAppend(append, records, now));
        nextAppendAt = now.plus(minAppendInterval);
        effects.add(new Effect.AppendToLog(append, LogStream.CLAIMS, new LogRecord.ClaimBatch(records)));
    }

    /** Handles the acknowledgement of an append. Returns whether the append was sent by this writer. */
    boolean onAppended(long append) {
        if (isInFlight(append)) {
            inFlight = Optional.empty();
            backoff.reset();
            return true;
        }
        return timedOutAppends.remove(append);
    }

    /** Handles a failed append. Returns whether the append was sent by this writer. */
    boolean onAppendFailed(long append, boolean mayTakeEffect, Instant now) {
        if (!isInFlight(append)) {
            return timedOutAppends.remove(append);
        }
        requeue(mayTakeEffect, now);
        return true;
    }

    private boolean isInFlight(long append) {
        return inFlight.isPresent() && inFlight.get().append() == append;
    }

    private void timeOutInFlightAppend(Instant now) {
        if (inFlight.isEmpty() || now.isBefore(inFlight.get().sentAt().plus(APPEND_TIMEOUT))) {
            return;
        }
        timedOutAppends.add(inFlight.get().append());
        requeue(true, now);
    }

    private void requeue(boolean mayTakeEffect, Instant now) {
        List<ClaimRecord> records = inFlight.orElseThrow().records();
        inFlight = Optional.empty();
        nextAppendAt = now.plus(backoff.next());
        for (int index = records.size() - 1; index >= 0; index--) {
            ClaimRecord record = records.get(index);
            // If the first copy of the claim did take effect and is abandoned later, a second copy could win the key.
            if (mayTakeEffect && record instanceof ClaimRecord.Claimed) {
                continue;
            }
            queue.addFirst(record);
        }
    }

    private List<ClaimRecord> nextBatch() {
        List<ClaimRecord> records = new ArrayList<>();
        int size = 0;
        while (!queue.isEmpty()) {
            int recordBytes = estimatedBytes(queue.getFirst());
            if (!records.isEmpty() && size + recordBytes > MAX_BATCH_BYTES) {
                break;
            }
            size += recordBytes;
            records.add(queue.removeFirst());
        }
        return List.copyOf(records);
    }

    private static int estimatedBytes(ClaimRecord record) {
        int size = RECORD_OVERHEAD_BYTES + utf8Length(record.key()) + utf8Length(record.claimId());
        return switch (record) {
            case ClaimRecord.Claimed claimed ->
                size
                        + utf8Length(claimed.bodyDigest())
                        + utf8Length(claimed.claimer().vm().value());
            case ClaimRecord.Settled settled -> size + settled.output().size();
            case ClaimRecord.Abandoned ignored -> size;
        };
    }

    private static int utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
