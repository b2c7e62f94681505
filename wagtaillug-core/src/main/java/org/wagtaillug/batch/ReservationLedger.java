package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.node.Decision;

/**
 * The demand that is reserved at the pools that a node schedules, and the decision whether a pool can take more.
 *
 * <p>Items that will arrive from earlier steps don't stand in any queue yet. Without them, every request of a burst finds a
 * short queue at the later pools, is run by the first pool, and is refused at a later one. Decides at once: a reservation
 * never waits for another one.
 *
 * <p>Designed for some hundred reservations a pool: 150 requests per second whose order arrives within two seconds. A decision
 * visits all reservations of the pool.
 */
final class ReservationLedger {
    /** How long a reservation is kept beyond the expected arrival of its order, as its request may be delayed or lost. */
    static final Duration ARRIVAL_GRACE = Duration.ofSeconds(1);

    /** Upper bound on the estimated wait, for pools with no or almost no usable servers. */
    private static final double MAX_WAIT_SECONDS = 60;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    private static final double NANOS_PER_SECOND = 1e9;

    private static final Comparator<Reservation> BY_ARRIVAL = Comparator.comparing(Reservation::arrivesAt)
            .thenComparing(reservation -> reservation.id().origin())
            .thenComparing(reservation -> reservation.id().number());

    private final Map<OrderId, Reservation> byId = new HashMap<>();
    private final Map<StepKey, Reservation> byStep = new HashMap<>();
    private final Map<PoolId, NavigableSet<Reservation>> byPool = new HashMap<>();

    private record StepKey(NodeId origin, RequestId request, int step) {
        static StepKey of(Reservation reservation) {
            return new StepKey(reservation.id().origin(), reservation.request(), reservation.step());
        }
    }

    /** Decides whether a pool can serve a step in time, and reserves its capacity if so. */
    Reservation.Answer request(Reservation wanted, PoolLoad load, Instant now) {
        if (load.itemsPerSecond() <= 0) {
            // A node that has just started may not know the servers yet; the order is decided when it arrives, as
            // before.
            return new Reservation.Answer(true, 0, Duration.ZERO, Duration.ZERO, Duration.ZERO);
        }
        double arrivesIn = Math.max(0, seconds(Duration.between(now, wanted.arrivesAt())));
        double workAhead = workAhead(wanted, load, now);
        double queued = workAhead == 0 ? 0 : workAhead / load.availableItemsPerSecond();
        Duration wait = duration(Math.max(queued, seconds(load.pause()) - arrivesIn));
        Duration roomWait = roomWait(wanted, load, arrivesIn);
        Duration longest = wait.compareTo(roomWait) > 0 ? wait : roomWait;
        Duration call = workAhead == 0 ? load.callDuration() : load.fullCallDuration();
        Instant completion = now.plus(duration(arrivesIn)).plus(longest).plus(call);
        Duration excess = excess(wanted.urgency(), completion, longest);
        boolean granted = !excess.isPositive();
        if (granted) {
            add(wanted);
        }
        Duration retryAfter = excess.compareTo(MIN_RETRY_AFTER) > 0 ? excess : MIN_RETRY_AFTER;
        return new Reservation.Answer(granted, workAhead, wait, roomWait, granted ? Duration.ZERO : retryAfter);
    }

    /** The log line of an answer. */
    static Decision line(Reservation wanted, Reservation.Answer answer, Instant now) {
        return line(wanted, answer.granted() ? "granted" : "refused")
                .field("rank", wanted.urgency().rank())
                .field("work_ahead", Math.round(answer.workAhead()))
                .field("wait_ms", answer.queueWait().toMillis())
                .field("room_wait_ms", answer.roomWait().toMillis())
                .field("arrives_ms", Duration.between(now, wanted.arrivesAt()).toMillis())
                .field(
                        "target_ms",
                        Duration.between(now, wanted.urgency().targetTime()).toMillis())
                .field("retry_after_ms", answer.retryAfter().toMillis())
                .build();
    }

    /** The log line of a reservation whose order has not arrived. */
    static Decision expiryLine(Reservation expired) {
        return line(expired, "expired").build();
    }

    private static Decision.Builder line(Reservation reservation, String outcome) {
        return Decision.builder("reserve")
                .field("request", reservation.request())
                .field("step", reservation.step())
                .field("pool", reservation.pool())
                .field("pieces", reservation.items())
                .field("outcome", outcome);
    }

    /** By how much a step would be too late; zero or negative if it is in time. */
    private static Duration excess(BatchOrder.Urgency urgency, Instant completion, Duration wait) {
        Duration beyondDeadline = Duration.between(urgency.deadline(), completion);
        if (wait.isZero()) {
            // A retry that arrives after its latency target must not be refused for that reason while the pool is idle.
            return beyondDeadline;
        }
        // Items that cannot meet their target go behind all that can, and under overload are abandoned after
        // LATE_GRACE; a
        // request that is expected to be late would be held for seconds and then refused.
        Duration beyondTarget = Duration.between(urgency.targetTime(), completion);
        return beyondTarget.compareTo(beyondDeadline) > 0 ? beyondTarget : beyondDeadline;
    }

    /** The items that are left before the order when it arrives, if the pool serves what is queued and reserved until then. */
    private double workAhead(Reservation wanted, PoolLoad load, Instant now) {
        double backlog = load.queuedItems();
        Instant from = now;
        for (Reservation reserved : reservations(wanted.pool())) {
            if (reserved.arrivesAt().isAfter(wanted.arrivesAt())) {
                break;
            }
            if (reserved.urgency().rank() <= wanted.urgency().rank()) {
                backlog = drained(backlog, from, reserved.arrivesAt(), load) + reserved.items();
                from = reserved.arrivesAt().isAfter(from) ? reserved.arrivesAt() : from;
            }
        }
        return drained(backlog, from, wanted.arrivesAt(), load);
    }

    private static double drained(double backlog, Instant from, Instant until, PoolLoad load) {
        return until.isAfter(from)
                ? Math.max(0, backlog - load.itemsPerSecond() * seconds(Duration.between(from, until)))
                : backlog;
    }

    private Duration roomWait(Reservation wanted, PoolLoad load, double arrivesIn) {
        double missing = (double) wanted.items() * wanted.resultBytes() - load.freeBytes();
        for (Reservation reserved : reservations(wanted.pool())) {
            boolean before = reserved.urgency().rank() <= wanted.urgency().rank()
                    && !reserved.arrivesAt().isAfter(wanted.arrivesAt());
            missing += before ? (double) reserved.items() * reserved.resultBytes() : 0;
        }
        if (missing <= 0) {
            return Duration.ZERO;
        }
        double lifetime = seconds(load.resultLifetime());
        double untilRoom = load.releasedBytesPerSecond() > 0 ? missing / load.releasedBytesPerSecond() : lifetime;
        return duration(Math.max(0, Math.min(untilRoom, lifetime) - arrivesIn));
    }

    /**
     * The items of reservations that will arrive while an order without one waits, and be served before it.
     *
     * @param rank the rank of the order
     * @param queuedItems the number of queued items that are served before it
     * @param itemsPerSecond the rate at which the pool serves items
     */
    int itemsBefore(PoolId pool, int rank, int queuedItems, double itemsPerSecond, Instant now) {
        int reservedItems = 0;
        for (Reservation reserved : reservations(pool)) {
            double wait = Math.min((queuedItems + reservedItems) / itemsPerSecond, MAX_WAIT_SECONDS);
            if (reserved.arrivesAt().isAfter(now.plus(duration(wait)))) {
                break;
            }
            // Those of lower ranks are in the rate that recent arrivals leave to this rank.
            reservedItems += reserved.urgency().rank() == rank ? reserved.items() : 0;
        }
        return reservedItems;
    }

    private NavigableSet<Reservation> reservations(PoolId pool) {
        return byPool.computeIfAbsent(pool, id -> new TreeSet<>(BY_ARRIVAL));
    }

    private void add(Reservation reservation) {
        cancel(reservation.id());
        Reservation earlier = byStep.get(StepKey.of(reservation));
        if (earlier != null) {
            remove(earlier);
        }
        byId.put(reservation.id(), reservation);
        byStep.put(StepKey.of(reservation), reservation);
        reservations(reservation.pool()).add(reservation);
    }

    private void remove(Reservation reservation) {
        byId.remove(reservation.id());
        byStep.remove(StepKey.of(reservation), reservation);
        reservations(reservation.pool()).remove(reservation);
    }

    /** An order has arrived. Returns whether it has a reservation, which ends by that. */
    boolean onOrder(BatchOrder order) {
        Reservation reservation = byStep.get(new StepKey(order.id().origin(), order.request(), order.step()));
        if (reservation == null) {
            return false;
        }
        remove(reservation);
        return reservation.pool().equals(order.pool());
    }

    /** Cancels a reservation, if there is one with this id. */
    void cancel(OrderId id) {
        Reservation reservation = byId.get(id);
        if (reservation != null) {
            remove(reservation);
        }
    }

    /** Cancels the reservations of the runs of a node before the given one. */
    void cancelBefore(NodeId current) {
        for (OrderId id : List.copyOf(byId.keySet())) {
            if (id.ofRunBefore(current)) {
                cancel(id);
            }
        }
    }

    /** Removes the reservations whose orders have not arrived, and returns them. */
    List<Reservation> expire(Instant now) {
        List<Reservation> expired = new ArrayList<>();
        for (Reservation reservation : List.copyOf(byId.values())) {
            if (!now.isBefore(reservation.arrivesAt().plus(ARRIVAL_GRACE))) {
                remove(reservation);
                expired.add(reservation);
            }
        }
        return expired;
    }

    /** The number of reserved items of a pool. */
    int items(PoolId pool) {
        int items = 0;
        for (Reservation reservation : reservations(pool)) {
            items += reservation.items();
        }
        return items;
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }

    private static Duration duration(double seconds) {
        return Duration.ofNanos(Math.round(Math.min(seconds, MAX_WAIT_SECONDS) * NANOS_PER_SECOND));
    }
}
