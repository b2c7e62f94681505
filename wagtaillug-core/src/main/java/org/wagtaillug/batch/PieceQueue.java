package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * The pieces that wait for a call to one pool, and which go first.
 *
 * <p>When more arrives than the pool bears, an order by arrival lets every request wait until all are late, and a late
 * answer is worth a seventh of one in time. So pieces that can still be in time go first, by rank and then by aim; those
 * that cannot, but can meet their deadline, fill what is left of calls.
 */
final class PieceQueue {
    private final List<Waiting> waiting = new ArrayList<>();

    /** One piece that waits. */
    record Waiting(OrderState state, int piece) {
        PieceOrder order() {
            return state.order();
        }
    }

    void add(Waiting piece) {
        waiting.add(piece);
    }

    int size() {
        return waiting.size();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Drops pieces of orders that have ended. */
    void dropEnded() {
        waiting.removeIf(piece -> piece.state().ended());
    }

    /** The orders that cannot be in time any more even if they were called now. */
    List<OrderState> hopeless(Instant now) {
        List<OrderState> found = new ArrayList<>();
        for (Waiting piece : waiting) {
            Instant earliest = now.plus(piece.state().contract().callOf(1));
            boolean late = earliest.isAfter(piece.order().urgency().deadline());
            if (late && !found.contains(piece.state())) {
                found.add(piece.state());
            }
        }
        return found;
    }

    /** Takes the pieces for one call: the most pressing ones, at most so many, that fit into so much room. */
    List<Waiting> take(int most, long roomBytes, Instant now) {
        waiting.sort(mostPressingFirst(now));
        List<Waiting> taken = new ArrayList<>();
        long room = roomBytes;
        for (Iterator<Waiting> each = waiting.iterator(); each.hasNext() && taken.size() < most; ) {
            Waiting piece = each.next();
            if (piece.order().resultBytes() > room) {
                continue;
            }
            room -= piece.order().resultBytes();
            taken.add(piece);
            each.remove();
        }
        return taken;
    }

    private static Comparator<Waiting> mostPressingFirst(Instant now) {
        return Comparator.comparing((Waiting piece) -> !inTime(piece, now))
                .thenComparingInt(piece -> piece.order().urgency().rank())
                .thenComparing(piece -> piece.order().urgency().aim())
                .thenComparing(piece -> piece.order().id().number())
                .thenComparingInt(Waiting::piece);
    }

    private static boolean inTime(Waiting piece, Instant now) {
        Duration call = piece.state().contract().callOf(1);
        return !now.plus(call).isAfter(piece.order().urgency().aim());
    }
}
