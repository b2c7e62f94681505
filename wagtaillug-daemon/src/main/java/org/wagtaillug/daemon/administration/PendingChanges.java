package org.wagtaillug.daemon.administration;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.wagtaillug.result.Refusal;

/**
 * The changes that operators sent to this node, by change id: those that they wait for, and the outcomes of the last
 * {@value #REMEMBERED}. Used from all threads.
 *
 * <p>The failure that it guards against: the answer to a change is lost on its way to the operator, who sends the change
 * again. Written to the log a second time, it could win a second time over what another operator changed in between. The
 * repeat is given the outcome of the first and never reaches the log.
 */
public final class PendingChanges {
    /** How many outcomes are remembered. */
    static final int REMEMBERED = 1024;

    private final Map<String, Sent> waiting = new HashMap<>();
    private final Map<String, Sent> answered = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Sent> eldest) {
            return size() > REMEMBERED;
        }
    };

    private record Sent(Object change, CompletableFuture<Either<Refusal, Long>> outcome) {}

    /**
     * What is known of a change id.
     *
     * @param first whether the id is new, so that the change has to be submitted
     * @param same whether the id stood for the same change before, if it is not new
     * @param outcome the change's offset, or why not; a copy, which may be given up without harm to others that wait
     */
    record Known(boolean first, boolean same, CompletableFuture<Either<Refusal, Long>> outcome) {}

    /**
     * Notes that a change was sent and waits for its outcome; several may wait for the same.
     *
     * @param changeId the id that the operator gave it
     * @param change all that was asked for, to be compared with what the id stood for before
     */
    synchronized Known await(String changeId, Object change) {
        Sent known = waiting.getOrDefault(changeId, answered.get(changeId));
        if (known != null) {
            return new Known(
                    false, known.change().equals(change), known.outcome().copy());
        }
        Sent sent = new Sent(change, new CompletableFuture<>());
        waiting.put(changeId, sent);
        return new Known(true, true, sent.outcome().copy());
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
        Sent sent = take(changeId);
        if (sent != null) {
            sent.outcome().complete(outcome);
        }
    }

    private synchronized Sent take(String changeId) {
        Sent sent = waiting.remove(changeId);
        if (sent != null) {
            answered.put(changeId, sent);
        }
        return sent;
    }
}
