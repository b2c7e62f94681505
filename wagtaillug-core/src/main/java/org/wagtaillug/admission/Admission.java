package org.wagtaillug.admission;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.result.ResultCode;

/**
 * Limits the requests in flight, by customer.
 *
 * <p>While less than {@link #PRESSURE_THRESHOLD} of the capacity is in use, every request is admitted. Above it, a customer that
 * exceeds its share of the capacity is refused, so that a burst of one large customer does not starve the small ones.
 */
public final class Admission {
    /** The fraction of the capacity in use above which customers are limited to their shares. */
    public static final double PRESSURE_THRESHOLD = 0.5;

    private final int capacity;
    private final Map<CustomerId, Usage> usages = new HashMap<>();
    private int total;

    /**
     * Creates a limiter without requests in flight.
     *
     * @param capacity the maximum number of requests in flight, at least 1
     */
    public Admission(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity is " + capacity + "; expected at least 1");
        }
        this.capacity = capacity;
    }

    /** Requests in flight and the share of one customer. */
    private static final class Usage {
        private int inFlight;
        private double share;
    }

    /**
     * The reason for refusing one more request of a customer; empty if it is admitted.
     *
     * @param customer the customer that sends the request
     * @param share the customer's share, above 0
     */
    public Option<ResultCode> refusalReason(CustomerId customer, double share) {
        if (total < capacity * PRESSURE_THRESHOLD) {
            return Option.none();
        }
        if (inFlight(customer) + 1 > guaranteedCapacity(customer, share)) {
            return Option.some(ResultCode.CUSTOMER_OVER_SHARE);
        }
        if (total >= capacity) {
            return Option.some(ResultCode.OVERLOADED);
        }
        return Option.none();
    }

    /** The customer's part of the capacity under pressure: its share among the active customers, but at least 1. */
    private double guaranteedCapacity(CustomerId customer, double share) {
        double shares = share;
        for (Map.Entry<CustomerId, Usage> entry : usages.entrySet()) {
            if (!entry.getKey().equals(customer)) {
                shares += entry.getValue().share;
            }
        }
        return Math.max(1, capacity * share / shares);
    }

    /** Records that a request of a customer was admitted. */
    public void onAdmitted(CustomerId customer, double share) {
        Usage usage = usages.computeIfAbsent(customer, ignored -> new Usage());
        usage.inFlight++;
        usage.share = share;
        total++;
    }

    /** Records that a request of a customer has been answered. */
    public void onAnswered(CustomerId customer) {
        Usage usage = usages.get(customer);
        if (usage == null) {
            throw new IllegalStateException("customer " + customer + " has no request in flight");
        }
        usage.inFlight--;
        total--;
        if (usage.inFlight == 0) {
            usages.remove(customer);
        }
    }

    /** The requests in flight of one customer. */
    public int inFlight(CustomerId customer) {
        Usage usage = usages.get(customer);
        return usage == null ? 0 : usage.inFlight;
    }

    /** All requests in flight. */
    public int total() {
        return total;
    }
}
