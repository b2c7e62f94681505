package org.wagtaillug.notice;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import org.wagtaillug.id.VmId;

/**
 * The newest rate limit that each upstream has announced, to this node or to another one.
 *
 * <p>A limit does not expire by itself, as the nodes would then all send at once to learn whether it still holds. It
 * ends with an answer without a limit, which some node gets because the limit leaves room for requests.
 */
public final class AnnouncedRateLimits {
    /** How long the end of a limit is remembered, so that older reports of other nodes do not set it again. */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    /** Bounds the size of heartbeats. */
    private static final int MAX_REPORTS = 64;

    private final Map<VmId, Observation> newest = new HashMap<>();

    private record Observation(OptionalDouble limit, Instant at) {}

    /**
     * Processes an answer to this node.
     *
     * @param limit the limit that the answer names; empty if it names none
     * @param successful whether the answer is a success; a failure that names no limit does not end one
     * @param sentAt when the request was sent
     * @return whether the known limit has changed
     */
    public boolean onAnswer(VmId upstream, OptionalDouble limit, boolean successful, Instant sentAt, Instant now) {
        Observation known = newest.get(upstream);
        if (limit.isPresent()) {
            return update(upstream, new Observation(limit, now));
        }
        // The answer to a request sent before the limit became known may have been given before the limit was set.
        boolean ends = known != null && known.limit().isPresent() && successful && sentAt.isAfter(known.at());
        return ends && update(upstream, new Observation(limit, now));
    }

    /**
     * Processes what another node knows; the newer observation holds.
     *
     * @return whether the known limit has changed
     */
    public boolean onReport(RateLimitReport report, Instant now) {
        Instant at = now.minus(report.age());
        Observation known = newest.get(report.upstream());
        if (known != null && !at.isAfter(known.at())) {
            return false;
        }
        return update(report.upstream(), new Observation(report.requestsPerSecond(), at));
    }

    private boolean update(VmId upstream, Observation observation) {
        Observation previous = newest.put(upstream, observation);
        OptionalDouble before = previous == null ? OptionalDouble.empty() : previous.limit();
        return !before.equals(observation.limit());
    }

    /** Ends the limit of an upstream that has restarted. */
    public void onRestarted(VmId upstream, Instant now) {
        newest.computeIfPresent(upstream, (id, known) -> new Observation(OptionalDouble.empty(), now));
    }

    /** Drops ended limits, and those of upstreams that are gone, after a retention period. */
    public void onTick(Predicate<VmId> listed, Instant now) {
        Instant oldest = now.minus(RETENTION);
        newest.entrySet().removeIf(entry -> {
            Observation observation = entry.getValue();
            boolean needed = observation.limit().isPresent() && listed.test(entry.getKey());
            return !needed && observation.at().isBefore(oldest);
        });
    }

    /** The limit of an upstream in requests per second; empty if none is known. */
    public OptionalDouble limitOf(VmId upstream) {
        Observation known = newest.get(upstream);
        return known == null ? OptionalDouble.empty() : known.limit();
    }

    /** The newest observations, for other nodes. */
    public List<RateLimitReport> reports(Instant now) {
        if (newest.isEmpty()) {
            return List.of();
        }
        List<RateLimitReport> reports = new ArrayList<>();
        newest.forEach((upstream, observation) -> reports.add(
                new RateLimitReport(upstream, observation.limit(), Duration.between(observation.at(), now))));
        reports.sort(Comparator.comparing(RateLimitReport::age));
        return reports.size() <= MAX_REPORTS ? reports : List.copyOf(reports.subList(0, MAX_REPORTS));
    }
}
