package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.wagtaillug.batch.CallGate;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.directory.VersionRule;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedPosition;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.feed.RolloutItem;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.rollout.RolloutCoordinator;
import org.wagtaillug.rollout.RolloutOrder;
import org.wagtaillug.rollout.RolloutSample;
import org.wagtaillug.rollout.RolloutStatus;
import org.wagtaillug.rollout.Rollouts;

/**
 * The part of this node in rollouts: it routes requests by the canary share from the store, reports their results to
 * the coordinator, and coordinates if that is its duty.
 */
final class RolloutExchange {
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(150);

    /** Samples that are retained for a node that takes over the coordination. */
    private static final int MAX_SAMPLES = 512;

    /** Maximum number of samples in one report. */
    private static final int MAX_REPORTED = 256;

    /** Hash multiplier; odd, so that ids that differ only in their last character get different canary decisions. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    private static final double HASH_RANGE = 4294967296.0;

    private final ServingSetup setup;
    private final UpstreamDirectory directory;
    private final Consumer<ServingEffect> effects;
    private final Rollouts rollouts = new Rollouts();
    private final RolloutCoordinator coordinator;
    private final RolloutCoordinator.Versions versions = new DirectoryVersions();
    private final Map<Long, Samples> samples = new HashMap<>();
    private final RolloutCallGate callGate;
    private final LostStatuses lostStatuses = new LostStatuses();
    private boolean fresh;

    private static final class Samples {
        private final Deque<RolloutSample> retained = new ArrayDeque<>();
        private int unreported;
        private Optional<VmId> receiver = Optional.empty();
        private Instant reportDue = Instant.EPOCH;

        private void add(RolloutSample sample) {
            retained.addLast(sample);
            unreported++;
            if (retained.size() > MAX_SAMPLES) {
                retained.removeFirst();
            }
            unreported = Math.min(unreported, retained.size());
        }

        /** Returns the samples that a receiver has not received; a new receiver gets all retained ones. */
        private List<RolloutSample> takeUnreported(VmId currentReceiver) {
            if (!receiver.equals(Optional.of(currentReceiver))) {
                receiver = Optional.of(currentReceiver);
                unreported = retained.size();
            }
            List<RolloutSample> all = new ArrayList<>(retained);
            List<RolloutSample> taken = all.subList(all.size() - unreported, all.size());
            unreported = 0;
            return taken;
        }
    }

    RolloutExchange(ServingSetup setup, UpstreamDirectory directory, Consumer<ServingEffect> effects) {
        this.setup = setup;
        this.directory = directory;
        this.effects = effects;
        this.coordinator = new RolloutCoordinator(rollouts, setup.rolloutLimits());
        this.callGate = new RolloutCallGate(rollouts, directory, this::sample, () -> fresh);
    }

    /**
     * Processes an order.
     *
     * @param storeUnstable whether the store was unreachable, or came back from an earlier copy, shortly before
     */
    void onOrder(RolloutOrder order, boolean storeUnstable, Instant now) {
        if (storeUnstable && rollouts.repeats(order)) {
            // The order was written again, or listed again at a position of the new era.
            return;
        }
        rollouts.onOrder(order);
        coordinator.onOrder(order, now);
        samples.keySet()
                .retainAll(rollouts.open().stream().map(RolloutOrder::id).toList());
        log(Decision.builder("rollout_ordered")
                .field("pool", order.pool())
                .field("version", order.version())
                .field("within_ms", order.within().toMillis())
                .field("offset", FeedPosition.text(order.id())));
    }

    void onWithdrawn(PoolId pool, FeedRecord record) {
        rollouts.onWithdrawn(pool);
        log(Decision.builder("rollout_withdrawn")
                .field("pool", pool)
                .field("offset", FeedPosition.text(record.offset())));
    }

    /** Processes a record of the rollouts feed. */
    void onRecord(FeedRecord record, Instant now) {
        switch (setup.decoder().rollout(record)) {
            case RolloutItem.Reported reported -> {
                RolloutStatus known = rollouts.statuses().get(reported.pool());
                if (known != null && reported.status().earlierThan(known)) {
                    log(Decision.builder("rollout_status_older")
                            .field("pool", reported.pool())
                            .field("offset", FeedPosition.text(record.offset())));
                    return;
                }
                lostStatuses.onRead(reported.pool());
                rollouts.onStatus(reported.pool(), reported.status());
                coordinator.onStatus(reported.status(), now);
                log(Decision.builder("rollout_status")
                        .field("pool", reported.pool())
                        .field("version", reported.status().version())
                        .field("state", reported.status().state())
                        .field("share", reported.status().share())
                        .field("offset", FeedPosition.text(record.offset())));
            }
            case RolloutItem.Removed removed -> rollouts.onStatusRemoved(removed.pool());
            case RolloutItem.Ignored ignored ->
                log(Decision.builder("record_ignored")
                        .field("key", record.key())
                        .field("offset", FeedPosition.text(record.offset()))
                        .field("reason", ignored.reason()));
        }
    }

    /** Processes the return of the store from an earlier copy. */
    void onStoreRestored(Instant now) {
        lostStatuses.onRestored(rollouts.statuses(), now);
    }

    /** Whether a rollout is in progress, or its status may have to be written again, so that it must be known. */
    boolean inProgress() {
        return !rollouts.open().isEmpty() || !lostStatuses.isEmpty();
    }

    /**
     * The versions that a request may be sent to.
     *
     * @param first whether this is the first attempt; retries are not sent to a candidate version
     */
    VersionRule rule(PoolId pool, RequestId request, boolean first) {
        double share = rollouts.share(pool).orElse(0.0);
        boolean fullyRolledOut = share >= 1;
        boolean canary = first && fresh && hashFraction(request) < share;
        VersionRule rule = rollouts.rule(pool, fullyRolledOut || canary);
        // A request must not wait for candidates that are unavailable.
        return directory.usable(pool, rule).isEmpty() ? stableVersions(pool) : rule;
    }

    /** The stable versions. */
    VersionRule stableVersions(PoolId pool) {
        return rollouts.rule(pool, false);
    }

    /**
     * Whether an upstream of a version may continue a stream that began at that version. A candidate that is still being
     * tested gets no more than its share of first attempts.
     */
    boolean permitsContinuation(PoolId pool, String version) {
        double share = rollouts.share(pool).orElse(0.0);
        boolean tested = fresh && share > setup.rolloutLimits().ratio();
        return stableVersions(pool).allows(version)
                || (tested && rollouts.rule(pool, true).allows(version));
    }

    private static double hashFraction(RequestId request) {
        return Integer.toUnsignedLong(request.value().hashCode() * HASH_MULTIPLIER) / HASH_RANGE;
    }

    /** Decides which stage servers may be called, and collects the results of calls. */
    CallGate callGate() {
        return callGate;
    }

    /** Adds the result of an attempt in progress, for the comparison of candidate and stable versions. */
    void sample(Flow flow, boolean failed, Instant now) {
        flow.target()
                .ifPresent(upstream -> sample(
                        upstream.listing(), flow.route().id().value(), failed, Duration.between(flow.sentAt(), now)));
    }

    /**
     * Adds the result of a request at an upstream.
     *
     * @param kind requests of the same kind are compared
     */
    void sample(Listing upstream, String kind, boolean failed, Duration took) {
        Optional<RolloutOrder> order = rollouts.order(upstream.pool());
        if (order.isEmpty() || rollouts.share(upstream.pool()).isEmpty()) {
            return;
        }
        boolean candidate = upstream.version().equals(order.get().version());
        samples.computeIfAbsent(order.get().id(), id -> new Samples())
                .add(new RolloutSample(kind, candidate, failed, took));
    }

    /** Processes the report of another node. */
    void onReport(ServingMessage.RolloutReport report, Instant now) {
        coordinator.onSamples(report.order(), report.samples(), now);
    }

    /**
     * Reports to the coordinator, or coordinates.
     *
     * @param holder the coordinator
     * @param statusFresh whether this node receives every new rollout status
     * @param position the known end of the rollouts feed
     */
    void onTick(VmId holder, boolean statusFresh, long position, Instant now) {
        fresh = statusFresh;
        lostStatuses.onTick(now);
        boolean coordinates = holder.equals(setup.self().vm());
        for (RolloutOrder order : rollouts.open()) {
            report(order, holder, coordinates, now);
        }
        if (coordinates && statusFresh) {
            lostStatuses.due(now).ifPresent(lost -> write(lost.getKey(), lost.getValue(), position));
            coordinator.due(versions, now).forEach(write -> write(write, position));
        }
    }

    private void report(RolloutOrder order, VmId holder, boolean coordinates, Instant now) {
        Samples pending = samples.computeIfAbsent(order.id(), id -> new Samples());
        if (now.isBefore(pending.reportDue)) {
            return;
        }
        pending.reportDue = now.plus(REPORT_INTERVAL);
        List<RolloutSample> taken = pending.takeUnreported(holder);
        if (coordinates) {
            coordinator.onSamples(order.id(), taken, now);
            return;
        }
        for (int from = 0; from < taken.size(); from += MAX_REPORTED) {
            List<RolloutSample> part = taken.subList(from, Math.min(taken.size(), from + MAX_REPORTED));
            effects.accept(new ServingEffect.SendToPeer(holder, new ServingMessage.RolloutReport(order.id(), part)));
        }
    }

    private void write(RolloutCoordinator.Write write, long position) {
        log(Decision.builder("rollout_decided")
                .field("pool", write.order().pool())
                .field("version", write.order().version())
                .field("state", write.status().state())
                .field("share", write.status().share())
                .field("elapsed_ms", write.status().elapsed().toMillis())
                .field("answers", write.comparison().candidates())
                .field("bad", write.comparison().badCandidates())
                .field("worse", write.comparison().worse()));
        write(write.order().pool(), write.status(), position);
    }

    private void write(PoolId pool, RolloutStatus status, long position) {
        effects.accept(new ServingEffect.WriteRecord(
                FeedName.ROLLOUTS,
                setup.decoder().rolloutKey(pool),
                Optional.of(setup.decoder().encode(status)),
                OptionalLong.of(position)));
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }

    private final class DirectoryVersions implements RolloutCoordinator.Versions {
        @Override
        public boolean available(PoolId pool, String version) {
            return !directory.usable(pool, new VersionRule.Only(version)).isEmpty();
        }

        @Override
        public Set<String> of(PoolId pool) {
            Set<String> found = new HashSet<>();
            for (Upstream upstream : directory.usable(pool)) {
                found.add(upstream.listing().version());
            }
            return found;
        }
    }
}
