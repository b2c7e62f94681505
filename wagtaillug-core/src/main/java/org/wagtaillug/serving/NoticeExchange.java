package org.wagtaillug.serving;

import java.time.Instant;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.wagtaillug.admission.BrittlePools;
import org.wagtaillug.admission.FleetRateLimiter;
import org.wagtaillug.admission.LimitShare;
import org.wagtaillug.admission.RequestedPauses;
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.clock.WallClock;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.LoadView;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.notice.AnnouncedRateLimits;
import org.wagtaillug.notice.DepartureReport;
import org.wagtaillug.notice.RateLimitReport;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.routing.UpstreamLimits;
import org.wagtaillug.routing.UpstreamLimits.ColdBound;

/** Collects what upstreams announce in their answers and exchanges it with other nodes. */
final class NoticeExchange {
    private final UpstreamDirectory directory;
    private final WallClock wallClock;
    private final ContentionSwitch contention;
    private final LoadReports loads;
    private final Consumer<ServingEffect> effects;
    private final AnnouncedRateLimits rateLimits = new AnnouncedRateLimits();
    private final RequestedPauses pauses = new RequestedPauses();
    private final BrittlePools brittlePools;

    NoticeExchange(
            UpstreamDirectory directory,
            Roster roster,
            WallClock wallClock,
            ContentionSwitch contention,
            LoadView loadView,
            Consumer<ServingEffect> effects) {
        this.contention = contention;
        this.loads = new LoadReports(directory, loadView, contention, effects);
        this.directory = directory;
        this.wallClock = wallClock;
        this.brittlePools = new BrittlePools(roster, wallClock);
        this.effects = effects;
    }

    AnnouncedRateLimits rateLimits() {
        return rateLimits;
    }

    RequestedPauses pauses() {
        return pauses;
    }

    /** Creates the limits on requests to upstreams, which follow what these announce. */
    UpstreamLimits upstreamLimits(Roster roster, ColdBound coldBound) {
        return new UpstreamLimits(
                roster,
                new WarmupRateLimiter(),
                coldBound,
                new FleetRateLimiter(rateLimits, new LimitShare.AmongNodes(roster)),
                pauses,
                brittlePools);
    }

    /**
     * Processes what an upstream announces in an answer to this node.
     *
     * @param successful whether the answer is a success
     * @param sentAt when the request was sent
     */
    void onAnswer(Listing upstream, UpstreamNotice notice, boolean successful, Instant sentAt, Instant now) {
        VmId id = upstream.id();
        if (notice.load().isPresent() && contention.onAnnounced()) {
            log(Decision.builder("contention").field("source", id));
        }
        loads.onAnswer(upstream, notice, now);
        if (!notice.limitUnreadable() && rateLimits.onAnswer(id, notice.rateLimit(), successful, sentAt, now)) {
            log(rateLimit(id, notice.rateLimit()).field("source", "answer"));
        }
        if (notice.leaving()) {
            // The upstream may have restarted since its listing was read, but not after the request was sent.
            long latestStart =
                    Math.max(upstream.incarnation(), wallClock.wallTime(sentAt).epochMillis());
            logDeparture(id, latestStart, directory.onDeparture(id, latestStart, now), "answer");
        }
        boolean saysBrittle =
                !notice.limitUnreadable() || notice.maxRejections().isPresent();
        if (saysBrittle && brittlePools.onAnswer(upstream.pool(), notice.maxRejections(), successful, sentAt, now)) {
            log(Decision.builder("pool_brittle")
                    .field("pool", upstream.pool())
                    .field("upstream", id)
                    .field("max_rejections", text(notice.maxRejections())));
        }
        if (!notice.pause().isZero() && pauses.onRefused(id, notice.pause(), now)) {
            log(Decision.builder("upstream_pause")
                    .field("upstream", id)
                    .field("pause_ms", notice.pause().toMillis()));
        }
    }

    /** Processes a rejection for lack of room; a brittle upstream gets nothing for some time. */
    void onRejected(Listing upstream, Instant now) {
        if (brittlePools.brittle(upstream.pool())) {
            pauses.onRefused(upstream.id(), BrittlePools.REJECTION_PAUSE, now);
        }
    }

    private void logDeparture(VmId upstream, long latestStart, UpstreamDirectory.Change change, Object source) {
        if (change != UpstreamDirectory.Change.NONE) {
            log(Decision.builder("upstream")
                    .field("upstream", upstream)
                    .field("change", change)
                    .field("started_until", latestStart)
                    .field("source", source));
        }
    }

    /** Processes what another node knows. */
    void onHeartbeat(NodeId sender, ServingMessage.Heartbeat heartbeat, Instant now) {
        for (DepartureReport report : heartbeat.departures()) {
            UpstreamDirectory.Change change =
                    directory.onDeparture(report.upstream(), report.latestStart(), now.minus(report.age()));
            logDeparture(report.upstream(), report.latestStart(), change, sender);
        }
        for (RateLimitReport report : heartbeat.rateLimits()) {
            if (rateLimits.onReport(report, now)) {
                log(rateLimit(report.upstream(), report.requestsPerSecond())
                        .field("source", sender)
                        .field("age_ms", report.age().toMillis()));
            }
        }
    }

    /** Handles the restart of an upstream, which may have been listed long after it. */
    void onRestarted(Listing upstream, Instant now) {
        Instant start = wallClock.steadyTime(upstream.startedAt());
        rateLimits.onRestarted(upstream.id(), start, now);
        pauses.onRestarted(upstream.id(), start);
        loads.onRestarted(upstream.id());
    }

    void onTick(Instant now) {
        pauses.onTick(now);
        loads.onTick(now);
        rateLimits.onTick(id -> directory.find(id).isPresent(), now);
    }

    private static Decision.Builder rateLimit(VmId upstream, OptionalDouble limit) {
        return Decision.builder("rate_limit").field("upstream", upstream).field("requests_per_second", text(limit));
    }

    private static String text(OptionalDouble limit) {
        return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "none";
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }
}
