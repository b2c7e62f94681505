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
 * Appends what waits to be written, many records in one append and one append at a time, at a rate that leaves room for
 * the other nodes.
 *
 * <p>An outcome or an abandonment may be appended any number of times, since the fold counts the first one only. A claim
 * is another matter: an append whose answer was lost may have taken effect, or may still do so after the claim's
 * request was told that it did not run. So a claim that may be on its way is never appended again.
 */
final class ClaimWriter {
    /** The most bytes of one batch; the log service takes 262,144. */
    static final int LARGEST_BATCH = 200_000;

    /** The most bytes of an answer that can be recorded. */
    static final int LARGEST_OUTPUT = 190_000;

    /** An append that is not answered for so long counts as one that may or may not take effect. */
    static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

    /** Field numbers, lengths and times of one record, generously. */
    private static final int RECORD_OVERHEAD = 200;

    /**
     * One append on its way.
     *
     * @param append its number
     * @param records what it holds
     * @param sentAt when it was sent
     */
    private record Sent(long append, List<ClaimRecord> records, Instant sentAt) {}

    private final Duration batchEvery;
    private final AppendBudget budget;
    private final Deque<ClaimRecord> waiting = new ArrayDeque<>();
    private final RetryDelay delay = new RetryDelay();
    private final Set<Long> givenUp = new HashSet<>();
    private Optional<Sent> sent = Optional.empty();
    private Instant notBefore = Instant.MIN;

    ClaimWriter(Duration batchEvery, int appendsPerSecond) {
        this.batchEvery = batchEvery;
        this.budget = new AppendBudget(appendsPerSecond);
    }

    void add(ClaimRecord record) {
        waiting.add(record);
    }

    /** Takes back a record that was not sent yet; tells whether it was still there. */
    boolean remove(ClaimRecord record) {
        return waiting.remove(record);
    }

    /** A record showed on the log, so it need not be written again if its answer was lost. */
    void readBack(ClaimRecord record) {
        waiting.remove(record);
    }

    boolean idle() {
        return waiting.isEmpty() && sent.isEmpty();
    }

    /**
     * Appends what waits if it is time to.
     *
     * @param wanted which claims are still to be made; the others are dropped unsent
     */
    void flush(Predicate<ClaimRecord> wanted, Instant now, Effects effects) {
        giveUpUnanswered(now);
        if (sent.isPresent() || now.isBefore(notBefore)) {
            return;
        }
        waiting.removeIf(wanted.negate());
        if (waiting.isEmpty() || !budget.take(now)) {
            return;
        }
        List<ClaimRecord> records = nextBatch();
        long append = effects.nextAppend();
        sent = Optional.of(new Sent(append, records, now));
        notBefore = now.plus(batchEvery);
        effects.add(new Effect.AppendToLog(append, LogStream.CLAIMS, new LogRecord.ClaimBatch(records)));
    }

    /** An append was answered; tells whether it was one of these. */
    boolean appended(long append) {
        if (isCurrent(append)) {
            sent = Optional.empty();
            delay.reset();
            return true;
        }
        return givenUp.remove(append);
    }

    /** An append failed; tells whether it was one of these. */
    boolean failed(long append, boolean mayTakeEffect, Instant now) {
        if (!isCurrent(append)) {
            return givenUp.remove(append);
        }
        takeBack(mayTakeEffect, now);
        return true;
    }

    private boolean isCurrent(long append) {
        return sent.isPresent() && sent.get().append() == append;
    }

    private void giveUpUnanswered(Instant now) {
        if (sent.isEmpty() || now.isBefore(sent.get().sentAt().plus(APPEND_TIMEOUT))) {
            return;
        }
        givenUp.add(sent.get().append());
        takeBack(true, now);
    }

    private void takeBack(boolean mayTakeEffect, Instant now) {
        List<ClaimRecord> records = sent.orElseThrow().records();
        sent = Optional.empty();
        notBefore = now.plus(delay.take());
        for (int index = records.size() - 1; index >= 0; index--) {
            ClaimRecord record = records.get(index);
            // A second copy of a claim that did take effect could win after the first was abandoned.
            if (mayTakeEffect && record instanceof ClaimRecord.Claimed) {
                continue;
            }
            waiting.addFirst(record);
        }
    }

    private List<ClaimRecord> nextBatch() {
        List<ClaimRecord> records = new ArrayList<>();
        int size = 0;
        while (!waiting.isEmpty()) {
            int added = sizeOf(waiting.getFirst());
            if (!records.isEmpty() && size + added > LARGEST_BATCH) {
                break;
            }
            size += added;
            records.add(waiting.removeFirst());
        }
        return List.copyOf(records);
    }

    private static int sizeOf(ClaimRecord record) {
        int size = RECORD_OVERHEAD + bytes(record.key()) + bytes(record.claimId());
        return switch (record) {
            case ClaimRecord.Claimed claimed ->
                size
                        + bytes(claimed.bodyDigest())
                        + bytes(claimed.claimer().vm().value());
            case ClaimRecord.Settled settled -> size + settled.output().size();
            case ClaimRecord.Abandoned ignored -> size;
        };
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
