package org.wagtaillug.load;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.wagtaillug.id.VmId;

/**
 * The newest load report of each upstream.
 *
 * <p>Answers load that changes within a second: work on an upstream's VM takes several times as long for half a second. The
 * weight of a report halves with each {@link #HALF_LIFE}. Reports only raise the expected cost of an upstream, so an upstream
 * that reports a false load, or none, attracts no work.
 */
public final class LoadView {
    /** A VM is slow for about twice this time, so an older report says little. */
    static final Duration HALF_LIFE = Duration.ofMillis(300);

    private static final double NEUTRAL = 1;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double DECAY_PER_NANO = Math.log(2) / HALF_LIFE.toNanos();

    private final Map<VmId, Report> reports = new HashMap<>();

    private record Report(ServerLoad load, Instant at) {}

    /**
     * Records a report.
     *
     * @param at when the upstream sent it; an older report than the known one is ignored
     */
    public void onReport(VmId upstream, ServerLoad load, Instant at) {
        Report known = reports.get(upstream);
        if (known == null || !at.isBefore(known.at())) {
            reports.put(upstream, new Report(load, at));
        }
    }

    /** How long work is expected to take, as a multiple of the usual time; 1 without a recent report, never below 1. */
    public double slowdown(VmId upstream, Instant now) {
        return influence(upstream, now).slowdown();
    }

    /** The number of requests that are expected to wait for a slot; 0 without a recent report. */
    public double waiting(VmId upstream, Instant now) {
        return influence(upstream, now).waiting();
    }

    /**
     * The number of requests by which an upstream's load exceeds its slots, as a multiple of these; 0 without a recent
     * report.
     */
    public double excess(VmId upstream, Instant now) {
        return influence(upstream, now).excess();
    }

    /** The time since the newest report of an upstream; empty if there is none. */
    public Optional<Duration> age(VmId upstream, Instant now) {
        return Optional.ofNullable(reports.get(upstream)).map(report -> Duration.between(report.at(), now));
    }

    /**
     * What the newest report of an upstream counts for now; read at once, as a choice reads it for each upstream of a pool.
     *
     * @param slowdown as {@link #slowdown}
     * @param waiting as {@link #waiting}
     * @param excess as {@link #excess}
     */
    record Influence(double slowdown, double waiting, double excess) {
        private static final Influence NONE = new Influence(NEUTRAL, 0, 0);
    }

    Influence influence(VmId upstream, Instant now) {
        Report report = reports.get(upstream);
        if (report == null) {
            return Influence.NONE;
        }
        ServerLoad load = report.load();
        double weight = weight(report, now);
        double beyond = Math.max(0, (double) load.running() + load.waiting() - load.slots());
        return new Influence(
                NEUTRAL + Math.max(0, load.slowdown() - NEUTRAL) * weight,
                load.waiting() * weight,
                beyond / Math.max(1, load.slots()) * weight);
    }

    private static double weight(Report report, Instant now) {
        Instant at = report.at();
        double age = (now.getEpochSecond() - at.getEpochSecond()) * NANOS_PER_SECOND + now.getNano() - at.getNano();
        return age <= 0 ? 1 : Math.exp(-age * DECAY_PER_NANO);
    }

    /** Forgets the report of an upstream that has restarted. */
    public void onRestarted(VmId upstream) {
        reports.remove(upstream);
    }

    /** Forgets the reports of all upstreams that are not listed any more. */
    public void retain(Set<VmId> listed) {
        retain(listed::contains);
    }

    /** Forgets the reports of all upstreams that are not listed any more. */
    public void retain(Predicate<VmId> listed) {
        reports.keySet().removeIf(listed.negate());
    }
}
