package org.wagtaillug.reachability;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtaillug.id.VmId;

/**
 * Whether this node can connect to the upstreams of one pool.
 *
 * <p>A single upstream that cannot be reached has failed; several of them without one success in between mean that this
 * node has lost its path. Only new connections count: older ones may live on while new ones are refused.
 */
final class PoolReachability {
    /** Failed attempts to connect, without a success in between, after which the pool is unreachable. */
    private static final int FAILURES_TO_LOSE = 3;

    /** A connection that was opened this long before the end of a failed attempt shows that the path works. */
    private static final Duration ATTEMPT_TIME = Duration.ofMillis(400);

    /** Probes of upstreams that work are answered within this time. */
    private static final Duration PROBE_ANSWER_TIME = Duration.ofMillis(100);

    /** Pause between two probes of an unreachable pool, and between two probes of the same upstream. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

    /** A probe without a result is repeated after this time. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    /** Failures of each upstream since the last success of any. */
    private final Map<VmId, Integer> failures = new HashMap<>();

    /** When each probe in progress was started. */
    private final Map<VmId, Instant> probes = new HashMap<>();

    private Instant lastSuccess = Instant.EPOCH;
    private Instant firstFailure = Instant.EPOCH;
    private Instant nextProbe = Instant.EPOCH;
    private int lastProbed;
    private boolean unreachable;

    boolean unreachable() {
        return unreachable;
    }

    /** Whether connecting has failed and no success has followed. */
    boolean suspect() {
        return !failures.isEmpty();
    }

    /** Whether it is not known soon after the first failure that the path works; a single failed upstream is known by then. */
    boolean doubtful(Instant now) {
        return unreachable || (suspect() && !now.isBefore(firstFailure.plus(PROBE_ANSWER_TIME)));
    }

    /** Records that a connection to an upstream was opened at a time; returns whether the pool was unreachable before. */
    boolean onConnected(VmId upstream, Instant at) {
        probes.remove(upstream);
        if (suspect() && at.isBefore(firstFailure)) {
            return false;
        }
        boolean regained = unreachable;
        failures.clear();
        lastSuccess = at;
        unreachable = false;
        return regained;
    }

    /**
     * Records that a connection to an upstream could not be opened.
     *
     * @param usable the usable upstreams of the pool
     * @return whether the pool has become unreachable
     */
    boolean onFailed(VmId upstream, List<VmId> usable, Instant now) {
        probes.remove(upstream);
        if (!suspect() && now.isBefore(lastSuccess.plus(ATTEMPT_TIME))) {
            return false;
        }
        firstFailure = suspect() ? firstFailure : now;
        failures.merge(upstream, 1, Integer::sum);
        boolean lost = !unreachable && enoughFailures(usable);
        unreachable |= lost;
        return lost;
    }

    private boolean enoughFailures(List<VmId> usable) {
        int attempts = 0;
        int distinct = 0;
        for (Map.Entry<VmId, Integer> failed : failures.entrySet()) {
            attempts += failed.getValue();
            distinct += usable.contains(failed.getKey()) ? 1 : 0;
        }
        return attempts >= FAILURES_TO_LOSE && distinct >= Math.min(FAILURES_TO_LOSE, usable.size());
    }

    /** Requests probes although nothing has failed here, because another pool has become unreachable. */
    List<VmId> probesOnDoubt(List<VmId> usable, Instant now) {
        boolean works = now.isBefore(lastSuccess.plus(ATTEMPT_TIME));
        return unreachable || works ? List.of() : startProbes(usable, FAILURES_TO_LOSE, now);
    }

    /** Requests a probe of an upstream whose connection has failed or stalled. */
    List<VmId> probeOf(VmId upstream, Instant now) {
        boolean works = now.isBefore(lastSuccess.plus(ATTEMPT_TIME));
        return unreachable || works ? List.of() : startProbes(List.of(upstream), 1, now);
    }

    /** The probes to start now: to confirm a suspicion, or to notice the end of an unreachable time. */
    List<VmId> probesDue(List<VmId> usable, Instant now) {
        if (unreachable) {
            return usable.isEmpty() || now.isBefore(nextProbe) ? List.of() : startNextProbe(usable, now);
        }
        if (!suspect()) {
            return List.of();
        }
        List<VmId> untried = new ArrayList<>(usable);
        untried.removeAll(failures.keySet());
        return startProbes(untried.isEmpty() ? usable : untried, FAILURES_TO_LOSE - 1, now);
    }

    private List<VmId> startNextProbe(List<VmId> usable, Instant now) {
        nextProbe = now.plus(PROBE_INTERVAL);
        lastProbed = (lastProbed + 1) % usable.size();
        return startProbes(List.of(usable.get(lastProbed)), 1, now);
    }

    private List<VmId> startProbes(List<VmId> candidates, int count, Instant now) {
        probes.values().removeIf(since -> !now.isBefore(since.plus(PROBE_TIMEOUT)));
        List<VmId> started = new ArrayList<>();
        for (VmId candidate : candidates) {
            if (probes.size() >= count) {
                break;
            }
            if (probes.putIfAbsent(candidate, now) == null) {
                started.add(candidate);
            }
        }
        return started;
    }

    /** Drops what is known of upstreams that are no longer usable; returns whether the pool was suspect only for those. */
    boolean retain(List<VmId> usable) {
        boolean changed = failures.keySet().retainAll(usable) && failures.isEmpty();
        unreachable &= !failures.isEmpty();
        return changed;
    }
}
