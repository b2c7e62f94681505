package org.wagtaillug.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.VmId;

/** The pauses for which upstreams have asked this node when they refused a request. */
public final class RequestedPauses {
    private final Map<VmId, Instant> ends = new HashMap<>();

    /**
     * Records a refusal; a shorter pause does not end a longer one.
     *
     * @return whether the upstream was not paused before
     */
    public boolean onRefused(VmId upstream, Duration pause, Instant now) {
        boolean begins = remaining(upstream, now).isZero();
        ends.merge(upstream, now.plus(pause), (known, latest) -> latest.isAfter(known) ? latest : known);
        return begins;
    }

    /** The time until the pause of an upstream ends; zero if it wants none. */
    public Duration remaining(VmId upstream, Instant now) {
        Instant end = ends.get(upstream);
        return end == null || !end.isAfter(now) ? Duration.ZERO : Duration.between(now, end);
    }

    /** Ends the pause of an upstream that has restarted. */
    public void onRestarted(VmId upstream) {
        ends.remove(upstream);
    }

    /** Drops the pauses that are over. */
    public void onTick(Instant now) {
        ends.values().removeIf(end -> !end.isAfter(now));
    }
}
