package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;

/**
 * The priority queue of the pieces that wait for a call to one pool.
 *
 * <p>Under overload, first-come first-served makes every request wait until all miss their latency target, and a late answer
 * is worth a seventh of one in time. Pieces that can still meet their target therefore go first, by rank and then by target.
 * Pieces that cannot, but can meet their deadline, use the remaining capacity of calls.
 */
final class BatchQueue {
    /** How long a piece may wait past its latency target before its caller is better off retrying. */
    static final Duration LATE_GRACE = Duration.ofMillis(800);

    private final boolean byUrgency;
    private final List<QueuedPiece> pieces = new ArrayList<>();

    /** A queued piece and the time since when it has been waiting. */
    record QueuedPiece(OrderState state, int piece, Instant since) {
        BatchOrder order() {
            return state.order();
        }
    }

    BatchQueue(PolicyFeatures features) {
        byUrgency = features.uses(PolicyFeature.URGENCY_ORDER);
    }

    void add(QueuedPiece piece) {
        pieces.add(piece);
    }

    int size() {
        return pieces.size();
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    /** Whether all pieces of an order are queued, so that none is finished or in progress. */
    boolean containsAllPiecesOf(OrderState state) {
        int queued = 0;
        for (QueuedPiece piece : pieces) {
            queued += piece.state() == state ? 1 : 0;
        }
        return queued == state.order().pieces();
    }

    /** Removes the pieces of orders that have ended. */
    void dropEnded() {
        pieces.removeIf(piece -> piece.state().ended());
    }

    /** The orders with a piece that would miss its deadline even if it were sent now. */
    Set<OrderState> missingDeadline(Instant now) {
        Set<OrderState> orders = new LinkedHashSet<>();
        for (QueuedPiece piece : pieces) {
            if (earliestCompletion(piece, now).isAfter(piece.order().urgency().deadline())) {
                orders.add(piece.state());
            }
        }
        return orders;
    }

    /**
     * The orders with a piece that has waited longer than {@link #LATE_GRACE} past its latency target. Only a pool with spare
     * capacity would still serve them.
     */
    Set<OrderState> overdue(Instant now) {
        Set<OrderState> orders = new LinkedHashSet<>();
        for (QueuedPiece piece : pieces) {
            Instant queuedSince = piece.since();
            Instant targetTime = piece.order().urgency().targetTime();
            // For a retry that arrives after its latency target, the grace period starts at the arrival.
            Instant graceStart = targetTime.isAfter(queuedSince) ? targetTime : queuedSince;
            if (now.isAfter(graceStart.plus(LATE_GRACE))) {
                orders.add(piece.state());
            }
        }
        return orders;
    }

    /** The number of pieces that are served before one of a rank that arrives now. */
    int countAhead(int rank, Instant now) {
        int countAhead = 0;
        for (QueuedPiece piece : pieces) {
            if (meetsTarget(piece, now) && piece.order().urgency().rank() <= rank) {
                countAhead++;
            }
        }
        return countAhead;
    }

    /**
     * Removes and returns the most urgent pieces for one call.
     *
     * @param maxPieces the maximum number of pieces
     * @param availableBytes the limit on the total size of their results
     * @param serverDomain the failure domain of the server
     * @param domains the failure domains that have a usable server
     */
    List<QueuedPiece> takeForCall(
            int maxPieces, long availableBytes, DomainId serverDomain, Set<DomainId> domains, Instant now) {
        pieces.sort(byUrgency ? mostUrgentFirst(now, serverDomain) : Comparator.comparing(QueuedPiece::since));
        List<QueuedPiece> taken = new ArrayList<>();
        long remainingBytes = availableBytes;
        for (Iterator<QueuedPiece> iterator = pieces.iterator(); iterator.hasNext() && taken.size() < maxPieces; ) {
            QueuedPiece piece = iterator.next();
            boolean deferred = crossesDomains(piece, serverDomain) && canWaitForNearbyServer(piece, domains, now);
            if (deferred || piece.order().resultBytes() > remainingBytes) {
                continue;
            }
            remainingBytes -= piece.order().resultBytes();
            taken.add(piece);
            iterator.remove();
        }
        return taken;
    }

    private static boolean crossesDomains(QueuedPiece piece, DomainId serverDomain) {
        return piece.order().near().isPresent() && !piece.order().near().get().equals(serverDomain);
    }

    /**
     * Whether a piece should wait for a server near its inputs. Each piece fetches all results of the preceding step, so inputs
     * account for most of the traffic between failure domains. A piece waits for one call duration at most, and only if it can
     * still meet its latency target afterwards.
     */
    private static boolean canWaitForNearbyServer(QueuedPiece piece, Set<DomainId> domains, Instant now) {
        Duration callDuration =
                piece.state().contract().callOf(piece.state().contract().batch());
        boolean nearbyServerExists = domains.contains(piece.order().near().orElseThrow());
        boolean waitedLessThanOneCall = now.isBefore(piece.since().plus(callDuration));
        boolean canMeetTargetLater = now.plus(callDuration.multipliedBy(2))
                .isBefore(piece.order().urgency().targetTime());
        return nearbyServerExists && waitedLessThanOneCall && canMeetTargetLater;
    }

    private static Comparator<QueuedPiece> mostUrgentFirst(Instant now, DomainId serverDomain) {
        return Comparator.comparing((QueuedPiece piece) -> !meetsTarget(piece, now))
                .thenComparingInt(piece -> piece.order().urgency().rank())
                .thenComparing(piece -> crossesDomains(piece, serverDomain))
                .thenComparing(piece -> piece.order().urgency().targetTime())
                .thenComparing(piece -> piece.order().id().number())
                .thenComparingInt(QueuedPiece::piece);
    }

    private static boolean meetsTarget(QueuedPiece piece, Instant now) {
        return !earliestCompletion(piece, now).isAfter(piece.order().urgency().targetTime());
    }

    private static Instant earliestCompletion(QueuedPiece piece, Instant now) {
        return now.plus(piece.state().contract().callOf(1));
    }
}
