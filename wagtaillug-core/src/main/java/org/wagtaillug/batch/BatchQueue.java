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
import org.wagtaillug.route.BatchContract;

/**
 * The priority queue of the items that wait for a call to one pool.
 *
 * <p>Under overload, first-come first-served makes every request wait until all miss their latency target, and a late answer
 * is worth a seventh of one in time. Items that can still meet their target therefore go first, by rank and then by target.
 * Items that cannot, but can meet their deadline, use the remaining capacity of calls.
 */
final class BatchQueue {
    /** How long an item may wait past its latency target before its caller is better off retrying. */
    static final Duration LATE_GRACE = Duration.ofMillis(800);

    private final boolean byUrgency;
    private final CallEstimate calls;
    private final List<QueuedItem> items = new ArrayList<>();

    /** Estimates how long the call of an item takes. */
    interface CallEstimate {
        /** The expected duration of the next call to a pool, while so many items are queued. */
        Duration expected(BatchOrder order, BatchContract contract, int queued);
    }

    /** A queued item and the time since when it has been waiting. */
    record QueuedItem(OrderState state, int number, Instant since) {
        BatchOrder order() {
            return state.order();
        }
    }

    BatchQueue(PolicyFeatures features, CallEstimate calls) {
        this.calls = calls;
        byUrgency = features.uses(PolicyFeature.URGENCY_ORDER);
    }

    void add(QueuedItem item) {
        items.add(item);
    }

    int size() {
        return items.size();
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** Whether all items of an order are queued, so that none is finished or in progress. */
    boolean containsAllItemsOf(OrderState state) {
        int queued = 0;
        for (QueuedItem item : items) {
            queued += item.state() == state ? 1 : 0;
        }
        return queued == state.order().items();
    }

    /** Removes the items of orders that have ended. */
    void dropEnded() {
        items.removeIf(item -> item.state().ended());
    }

    /** The orders with an item that would miss its deadline even if it were sent now. */
    Set<OrderState> missingDeadline(Instant now) {
        Set<OrderState> orders = new LinkedHashSet<>();
        for (QueuedItem item : items) {
            if (earliestCompletion(item, now).isAfter(item.order().urgency().deadline())) {
                orders.add(item.state());
            }
        }
        return orders;
    }

    /**
     * The orders with an item that has waited longer than {@link #LATE_GRACE} past its latency target. Only a pool with spare
     * capacity would still serve them.
     */
    Set<OrderState> overdue(Instant now) {
        Set<OrderState> orders = new LinkedHashSet<>();
        for (QueuedItem item : items) {
            Instant queuedSince = item.since();
            Instant targetTime = item.order().urgency().targetTime();
            // For a retry that arrives after its latency target, the grace period starts at the arrival.
            Instant graceStart = targetTime.isAfter(queuedSince) ? targetTime : queuedSince;
            if (now.isAfter(graceStart.plus(LATE_GRACE))) {
                orders.add(item.state());
            }
        }
        return orders;
    }

    /** The bytes that the results of queued items of a rank and of lower ranks will take. */
    long resultBytes(int rank) {
        long bytes = 0;
        for (QueuedItem item : items) {
            bytes += item.order().urgency().rank() <= rank ? item.order().resultBytes() : 0;
        }
        return bytes;
    }

    /** The number of items that are served before one of a rank that arrives now. */
    int countAhead(int rank, Instant now) {
        int countAhead = 0;
        for (QueuedItem item : items) {
            if (meetsTarget(item, now) && item.order().urgency().rank() <= rank) {
                countAhead++;
            }
        }
        return countAhead;
    }

    /**
     * Removes and returns the most urgent items for one call.
     *
     * @param maxItems the maximum number of items
     * @param availableBytes the limit on the total size of their results
     * @param serverDomain the failure domain of the server
     * @param domains the failure domains that have a usable server
     */
    List<QueuedItem> takeForCall(
            int maxItems, long availableBytes, DomainId serverDomain, Set<DomainId> domains, Instant now) {
        items.sort(byUrgency ? mostUrgentFirst(now, serverDomain) : Comparator.comparing(QueuedItem::since));
        List<QueuedItem> taken = new ArrayList<>();
        long remainingBytes = availableBytes;
        for (Iterator<QueuedItem> iterator = items.iterator(); iterator.hasNext() && taken.size() < maxItems; ) {
            QueuedItem item = iterator.next();
            boolean deferred = crossesDomains(item, serverDomain) && canWaitForNearbyServer(item, domains, now);
            boolean mixed = !taken.isEmpty() && !mayShareCall(taken.getFirst(), item);
            if (deferred || mixed || item.order().resultBytes() > remainingBytes) {
                continue;
            }
            remainingBytes -= item.order().resultBytes();
            taken.add(item);
            iterator.remove();
        }
        return taken;
    }

    private static boolean mayShareCall(QueuedItem first, QueuedItem item) {
        return first.state() == item.state()
                || !(first.state().isolated() || item.state().isolated());
    }

    private static boolean crossesDomains(QueuedItem item, DomainId serverDomain) {
        return item.order().inputsDomain().isPresent()
                && !item.order().inputsDomain().get().equals(serverDomain);
    }

    /**
     * Whether an item should wait for a server near its inputs. Each item fetches all results of the preceding step, so inputs
     * account for most of the traffic between failure domains. An item waits for one call duration at most, and only if it can
     * still meet its latency target afterwards.
     */
    private static boolean canWaitForNearbyServer(QueuedItem item, Set<DomainId> domains, Instant now) {
        Duration callDuration =
                item.state().contract().callOf(item.state().contract().batch());
        boolean nearbyServerExists =
                domains.contains(item.order().inputsDomain().orElseThrow());
        boolean waitedLessThanOneCall = now.isBefore(item.since().plus(callDuration));
        boolean canMeetTargetLater = now.plus(callDuration.multipliedBy(2))
                .isBefore(item.order().urgency().targetTime());
        return nearbyServerExists && waitedLessThanOneCall && canMeetTargetLater;
    }

    private Comparator<QueuedItem> mostUrgentFirst(Instant now, DomainId serverDomain) {
        return Comparator.comparing((QueuedItem item) -> !meetsTarget(item, now))
                .thenComparingInt(item -> item.order().urgency().rank())
                .thenComparing(item -> !item.state().reserved())
                .thenComparing(item -> crossesDomains(item, serverDomain))
                .thenComparing(item -> item.order().urgency().targetTime())
                .thenComparing(item -> item.order().id().number())
                .thenComparingInt(QueuedItem::number);
    }

    private boolean meetsTarget(QueuedItem item, Instant now) {
        return !earliestCompletion(item, now).isAfter(item.order().urgency().targetTime());
    }

    private Instant earliestCompletion(QueuedItem item, Instant now) {
        return now.plus(calls.expected(item.order(), item.state().contract(), items.size()));
    }
}
