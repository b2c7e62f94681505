package org.wagtaillug.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.VmId;

/**
 * Lets this node send a cold upstream at most one request in any second.
 *
 * <p>A cold upstream that gets more than it bears crashes, comes back cold and crashes again; it shows as a pool whose
 * servers never stay up after an outage. Allowances that follow demand need an owner for each upstream and a word with it
 * before each request, just when connections and the store are least sure. One request in a second and node needs neither,
 * and stays below a bound of 12 a second with up to twelve nodes.
 */
public final class ColdPace {
    /** A little above a second: requests that leave a second apart may arrive closer together. */
    private static final Duration SPACING = Duration.ofMillis(1050);

    private final Map<VmId, Instant> last = new HashMap<>();

    /** Whether a request may go to a cold upstream now. */
    public boolean allows(VmId upstream, Instant now) {
        Instant before = last.get(upstream);
        return before == null || !now.isBefore(before.plus(SPACING));
    }

    /** Notes that a request goes to an upstream, cold or not: one that turns cold just after it has had its request. */
    public void onSent(VmId upstream, Instant now) {
        last.put(upstream, now);
    }
}
