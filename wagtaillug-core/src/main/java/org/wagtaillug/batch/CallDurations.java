package org.wagtaillug.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import org.wagtaillug.route.BatchContract;

/**
 * The observed durations of the calls of one pool, as a fixed part and a part for each item.
 *
 * <p>The line goes through the median of the recent small calls and the median of the recent large ones. Medians keep servers
 * that are slow for a while out of the estimate as long as they answer less than half of the calls. Small and large calls
 * have a window each, so that a time with full calls only doesn't drop the small ones. Designed for about 100 calls per second.
 */
public final class CallDurations {
    /** Calls of each size that are kept: at 40 calls per second, the window follows a change within a second. */
    private static final int WINDOW = 32;

    /** With fewer calls of a size, a single slow one could be the median. */
    private static final int MIN_CALLS = 5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Deque<Call> small = new ArrayDeque<>();
    private final Deque<Call> large = new ArrayDeque<>();
    private Line line = Line.UNKNOWN;

    private record Call(int items, double seconds, double expectedSeconds) {}

    /** Seconds = factor x configured duration + fixed + perItem x items. */
    private record Line(double factor, double fixed, double perItem) {
        private static final Line UNKNOWN = new Line(1, 0, 0);
    }

    /** Records a call whose items were all computed. */
    public void onCall(BatchContract contract, int items, Duration took) {
        Deque<Call> window = 2 * items <= contract.batch() ? small : large;
        window.addLast(new Call(items, seconds(took), seconds(contract.callOf(items))));
        if (window.size() > WINDOW) {
            window.removeFirst();
        }
        line = fit();
    }

    /** Whether enough calls were observed for an estimate that differs from the contract. */
    public boolean known() {
        return small.size() >= MIN_CALLS || large.size() >= MIN_CALLS;
    }

    /** The expected duration of a call with so many items; as in the contract while too few calls were observed. */
    public Duration expected(BatchContract contract, int items) {
        double seconds = line.factor * seconds(contract.callOf(items)) + line.fixed + line.perItem * items;
        return Duration.ofNanos(Math.round(seconds * NANOS_PER_SECOND));
    }

    private Line fit() {
        boolean knowsSmall = small.size() >= MIN_CALLS;
        boolean knowsLarge = large.size() >= MIN_CALLS;
        if (!knowsSmall && !knowsLarge) {
            return Line.UNKNOWN;
        }
        if (!knowsSmall || !knowsLarge) {
            return new Line(median(ratios(knowsSmall ? small : large)), 0, 0);
        }
        double smallItems = median(items(small));
        double smallSeconds = median(durations(small));
        double perItem = Math.max(0, (median(durations(large)) - smallSeconds) / (median(items(large)) - smallItems));
        double fixed = smallSeconds - perItem * smallItems;
        return fixed >= 0 ? new Line(0, fixed, perItem) : new Line(median(ratios(large)), 0, 0);
    }

    private static List<Double> ratios(Deque<Call> calls) {
        return calls.stream()
                .map(call -> call.seconds() / Math.max(call.expectedSeconds(), 1 / NANOS_PER_SECOND))
                .toList();
    }

    private static List<Double> items(Deque<Call> calls) {
        return calls.stream().map(call -> (double) call.items()).toList();
    }

    private static List<Double> durations(Deque<Call> calls) {
        return calls.stream().map(Call::seconds).toList();
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get((sorted.size() - 1) / 2);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
