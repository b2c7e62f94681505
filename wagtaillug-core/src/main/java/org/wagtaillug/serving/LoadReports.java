package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.LoadView;
import org.wagtaillug.node.Decision;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;

/**
 * Takes the load that upstreams report in their answers to this node into a {@link LoadView}, and counts the reports by pool.
 * Designed for thousands of answers per second, each with a report.
 */
final class LoadReports {
    /** Thousands of malformed headers per second must not fill the log. */
    private static final Duration MALFORMED_LOG_INTERVAL = Duration.ofMinutes(1);

    private final UpstreamDirectory directory;
    private final LoadView view;
    private final ContentionSwitch contention;
    private final Consumer<ServingEffect> effects;
    private final Map<PoolId, Counts> countsByPool = new HashMap<>();
    private Instant malformedLogDue = Instant.MIN;
    private long unlogged;

    /** What has been received from a pool since it was last published. */
    private static final class Counts {
        private long reports;
        private long malformed;
        private double publishedSlowdown = 1;
    }

    LoadReports(
            UpstreamDirectory directory, LoadView view, ContentionSwitch contention, Consumer<ServingEffect> effects) {
        this.directory = directory;
        this.view = view;
        this.contention = contention;
        this.effects = effects;
    }

    /**
     * Processes the report of an answer.
     *
     * @param upstream the upstream to which the request was sent
     * @param now when the answer has arrived
     */
    void onAnswer(Listing upstream, UpstreamNotice notice, Instant now) {
        if (!contention.active()) {
            return;
        }
        notice.load().filter(load -> current(upstream)).ifPresent(load -> {
            view.onReport(upstream.id(), load, now);
            counts(upstream.pool()).reports++;
        });
        notice.malformedLoad().ifPresent(text -> onMalformed(upstream, text, now));
    }

    /** Whether the directory lists this run of an upstream: an answer may arrive after the upstream has restarted or left. */
    private boolean current(Listing upstream) {
        return directory
                .find(upstream.id())
                .filter(known -> known.listing().incarnation() == upstream.incarnation())
                .isPresent();
    }

    private void onMalformed(Listing upstream, String text, Instant now) {
        if (!contention.uses(PolicyFeature.LOAD_VIEW)) {
            return;
        }
        counts(upstream.pool()).malformed++;
        unlogged++;
        if (now.isBefore(malformedLogDue)) {
            return;
        }
        malformedLogDue = now.plus(MALFORMED_LOG_INTERVAL);
        effects.accept(new ServingEffect.LogDecision(Decision.builder("load_malformed")
                .field("upstream", upstream.id())
                .field("pool", upstream.pool())
                .field("value", text)
                .field("count", unlogged)
                .build()));
        unlogged = 0;
    }

    private Counts counts(PoolId pool) {
        return countsByPool.computeIfAbsent(pool, id -> new Counts());
    }

    /** Forgets the report of an upstream that has restarted. */
    void onRestarted(VmId upstream) {
        view.onRestarted(upstream);
    }

    /** Forgets the reports of upstreams that are not listed any more, and publishes metrics. */
    void onTick(Instant now) {
        view.retain((VmId id) -> directory.find(id).isPresent());
        if (contention.uses(PolicyFeature.LOAD_VIEW)) {
            countsByPool.forEach((pool, counts) -> publish(pool, counts, now));
        }
    }

    private void publish(PoolId pool, Counts counts, Instant now) {
        double slowdown = directory.usable(pool).stream()
                .map(Upstream::id)
                .mapToDouble(id -> view.slowdown(id, now))
                .average()
                .orElse(1);
        if (counts.reports == 0 && counts.malformed == 0 && slowdown == counts.publishedSlowdown) {
            return;
        }
        effects.accept(new ServingEffect.LoadObserved(pool, counts.reports, counts.malformed, slowdown));
        counts.reports = 0;
        counts.malformed = 0;
        counts.publishedSlowdown = slowdown;
    }
}
