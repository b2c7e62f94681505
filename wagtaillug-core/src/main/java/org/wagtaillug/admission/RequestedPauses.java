package org.wagtaillug.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.VmId;

/** The pauses for which upstreams have asked this node when they refused a request. */
public final class RequestedPauses {
    private final Map<VmId, Pause> pauses = new HashMap<>();

    private record Pause(Instant requestedAt, Instant end) {}

    /**
     * Records a refusal; a shorter pause does not end a longer one.
     *
     * @return whether the upstream was not paused before
     */
    public boolean onRefused(VmId upstream, Duration pause, Instant now) {
        boolean begins = remaining(upstream, now).isZero();
        Instant requestedEnd = now.plus(pause);
        Pause known = pauses.get(upstream);
        boolean longer = known == null || requestedEnd.isAfter(known.end());
        pauses.put(upstream, new Pause(now, longer ? requestedEnd : known.end()));
        return begins;
    }

    /** The time until the pause of an upstream ends; zero if it wants none. */
    public Duration remaining(VmId upstream, Instant now) {
        Pause pause = pauses.get(upstream);
        return pause == null || !pause.end().isAfter(now) ? Duration.ZERO : Duration.between(now, pause.end());
    }

    /** Ends the pause of an upstream that has restarted, unless it asked for the pause after its start. */
    public void onRestarted(VmId upstream, Instant start) {
        pauses.computeIfPresent(upstream, (id, pause) -> pause.requestedAt().isBefore(start) ? null : pause);
    }

    /** Drops the pauses that are over. */
    public void onTick(Instant now) {
        pauses.values().removeIf(pause -> !pause.end().isAfter(now));
    }
}
