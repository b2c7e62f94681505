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

    /** A report that says the same counts only if it is this much newer, as each exchange adds its own delay to the age. */
    private static final Duration REPORT_DELAY = Duration.ofSeconds(1);

    /**
     * A report that allows more counts only if it is this much newer. A node that was frozen takes old reports for new
     * ones, and must not end a limit that others have just been told.
     */
    private static final Duration MAX_REPORT_DELAY = Duration.ofSeconds(5);

    private final Map<VmId, Observation> newest = new HashMap<>();

    /**
     * @param at when the limit was last announced
     * @param since when it was first announced
     */
    private record Observation(OptionalDouble limit, Instant at, Instant since) {
        private double rate() {
            return limit.orElse(Double.POSITIVE_INFINITY);
        }
    }

    /**
     * Processes an answer to this node.
     *
     * @param limit the limit that the answer names; empty if it names none
     * @param successful whether the answer is a success; a failure that names no limit does not end one
     * @param sentAt when the request was sent
     * @return whether the known limit has changed
     */
    public boolean onAnswer(VmId upstream, OptionalDouble limit, boolean successful, Instant sentAt, Instant now) {
        if (limit.isPresent()) {
            return update(upstream, limit, now);
        }
        Observation known = newest.get(upstream);
        // The answer to a request sent before the limit became known may have been given before the limit was set.
        if (known == null || !successful || !sentAt.isAfter(known.at())) {
            return false;
        }
        boolean ended = known.limit().isEmpty();
        if (ended && now.isAfter(known.since().plus(RETENTION))) {
            return false;
        }
        return update(upstream, limit, now);
    }

    /**
     * Processes what another node knows; the newer observation holds.
     *
     * @return whether the known limit has changed
     */
    public boolean onReport(RateLimitReport report, Instant now) {
        Instant at = now.minus(report.age());
        Observation known = newest.get(report.upstream());
        if (known != null && !at.isAfter(known.at().plus(margin(known, report)))) {
            return false;
        }
        return update(report.upstream(), report.requestsPerSecond(), at);
    }

    private static Duration margin(Observation known, RateLimitReport report) {
        double reported = report.requestsPerSecond().orElse(Double.POSITIVE_INFINITY);
        if (reported > known.rate()) {
            return MAX_REPORT_DELAY;
        }
        return reported < known.rate() ? Duration.ZERO : REPORT_DELAY;
    }

    private boolean update(VmId upstream, OptionalDouble limit, Instant at) {
        Observation previous = newest.get(upstream);
        boolean same = previous != null && previous.limit().equals(limit);
        newest.put(upstream, new Observation(limit, at, same ? previous.since() : at));
        return previous == null ? limit.isPresent() : !same;
    }

    /** Ends the limit of an upstream that has restarted, unless it has announced the limit after its start. */
    public void onRestarted(VmId upstream, Instant start, Instant now) {
        newest.computeIfPresent(
                upstream,
                (id, known) -> known.at().isBefore(start) ? new Observation(OptionalDouble.empty(), now, now) : known);
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
