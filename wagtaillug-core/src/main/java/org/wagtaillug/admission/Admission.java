package org.wagtaillug.admission;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.result.ResultCode;

/**
 * Counts the requests in flight by customer and says whether one more has room.
 *
 * <p>While there is room to spare, everybody is let in. When the node fills up, a customer that already uses more than
 * its share of the room is refused, so that the burst of one large customer does not cost the small ones.
 */
public final class Admission {
    /** The share of the room above which customers are held to their shares. */
    public static final double PRESSURE = 0.5;

    private final int room;
    private final Map<CustomerId, Use> uses = new HashMap<>();
    private int total;

    /**
     * Starts empty.
     *
     * @param room the most requests in flight at once, at least 1
     */
    public Admission(int room) {
        if (room < 1) {
            throw new IllegalArgumentException("room is " + room + "; expected at least 1");
        }
        this.room = room;
    }

    /** Requests in flight and the share of one customer. */
    private static final class Use {
        private int inFlight;
        private double share;
    }

    /**
     * Says why one more request of a customer has no room now; empty if it has.
     *
     * @param customer whose
     * @param share the customer's share, above 0
     */
    public Option<ResultCode> obstacle(CustomerId customer, double share) {
        if (total < room * PRESSURE) {
            return Option.none();
        }
        if (inFlight(customer) + 1 > fairRoom(customer, share)) {
            return Option.some(ResultCode.CUSTOMER_OVER_SHARE);
        }
        if (total >= room) {
            return Option.some(ResultCode.OVERLOADED);
        }
        return Option.none();
    }

    /** The room that a customer may take while others wait: its share among the customers that are active. */
    private double fairRoom(CustomerId customer, double share) {
        double shares = share;
        for (Map.Entry<CustomerId, Use> entry : uses.entrySet()) {
            if (!entry.getKey().equals(customer)) {
                shares += entry.getValue().share;
            }
        }
        return Math.max(1, room * share / shares);
    }

    /** Notes that a request of a customer was let in. */
    public void entered(CustomerId customer, double share) {
        Use use = uses.computeIfAbsent(customer, ignored -> new Use());
        use.inFlight++;
        use.share = share;
        total++;
    }

    /** Notes that a request of a customer is answered. */
    public void left(CustomerId customer) {
        Use use = uses.get(customer);
        if (use == null) {
            throw new IllegalStateException("customer " + customer + " has no request in flight");
        }
        use.inFlight--;
        total--;
        if (use.inFlight == 0) {
            uses.remove(customer);
        }
    }

    /** The requests in flight of one customer. */
    public int inFlight(CustomerId customer) {
        Use use = uses.get(customer);
        return use == null ? 0 : use.inFlight;
    }

    /** All requests in flight. */
    public int total() {
        return total;
    }
}
