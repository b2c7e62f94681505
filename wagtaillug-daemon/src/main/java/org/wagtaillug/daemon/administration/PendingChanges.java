package org.wagtaillug.daemon.administration;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.wagtaillug.result.Refusal;

/**
 * The changes that operators sent to this node, by change id: the pending ones, and the outcomes of the last {@value
 * #MAX_OUTCOMES}. Thread-safe.
 *
 * <p>Guards against applying a change twice: if the answer to a change is lost on its way to the operator, the operator
 * sends the change again. Written to the log a second time, it could overwrite what another operator has changed in the
 * meantime. The repeated change gets the outcome of the first one and is not written to the log.
 */
public final class PendingChanges {
    /** The number of outcomes that are kept. */
    static final int MAX_OUTCOMES = 1024;

    private final Map<String, SentChange> pending = new HashMap<>();
    private final Map<String, SentChange> answered = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SentChange> eldest) {
            return size() > MAX_OUTCOMES;
        }
    };

    private record SentChange(Object change, CompletableFuture<Either<Refusal, Long>> outcome) {}

    /**
     * The registration of a change id.
     *
     * @param first whether the id is new, so that the change must be submitted
     * @param same whether a known id was registered for the same change
     * @param outcome the offset of the change, or the refusal; a copy, which may be cancelled without affecting other
     *     waiters
     */
    record Registration(boolean first, boolean same, CompletableFuture<Either<Refusal, Long>> outcome) {}

    /**
     * Registers a change; several callers may wait for the same one.
     *
     * @param change the complete change, for comparison with an earlier one of the same id
     */
    synchronized Registration register(String changeId, Object change) {
        SentChange existing = pending.getOrDefault(changeId, answered.get(changeId));
        if (existing != null) {
            return new Registration(
                    false, existing.change().equals(change), existing.outcome().copy());
        }
        SentChange sent = new SentChange(change, new CompletableFuture<>());
        pending.put(changeId, sent);
        return new Registration(true, true, sent.outcome().copy());
    }

    /** Reports that the change took effect at an offset. */
    public void accepted(String changeId, long offset) {
        complete(changeId, Either.right(offset));
    }

    /** Reports that the change did not take effect, or that its outcome is unknown. */
    public void refused(String changeId, Refusal refusal) {
        complete(changeId, Either.left(refusal));
    }

    private void complete(String changeId, Either<Refusal, Long> outcome) {
        SentChange sent = markAnswered(changeId);
        if (sent != null) {
            sent.outcome().complete(outcome);
        }
    }

    private synchronized SentChange markAnswered(String changeId) {
        SentChange sent = pending.remove(changeId);
        if (sent != null) {
            answered.put(changeId, sent);
        }
        return sent;
    }
}
