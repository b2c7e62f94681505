package org.wagtaillug.daemon.administration;

import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtaillug.result.Refusal;

/** The changes that operators wait for, by change id. */
public final class PendingChanges {
    private final Map<String, CompletableFuture<Either<Refusal, Long>>> waiting = new ConcurrentHashMap<>();

    /** Waits for the outcome of a change; several may wait for the same. */
    CompletableFuture<Either<Refusal, Long>> await(String changeId) {
        return waiting.computeIfAbsent(changeId, ignored -> new CompletableFuture<>());
    }

    /** The change won and stands at this offset. */
    public void accepted(String changeId, long offset) {
        complete(changeId, Either.right(offset));
    }

    /** The change did not win, or nobody can say. */
    public void refused(String changeId, Refusal refusal) {
        complete(changeId, Either.left(refusal));
    }

    private void complete(String changeId, Either<Refusal, Long> outcome) {
        CompletableFuture<Either<Refusal, Long>> future = waiting.remove(changeId);
        if (future != null) {
            future.complete(outcome);
        }
    }
}
