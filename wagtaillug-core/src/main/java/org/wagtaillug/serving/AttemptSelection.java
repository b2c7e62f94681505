package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.wagtaillug.clock.WallClock;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.directory.VersionRule;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.routing.UpstreamChooser;
import org.wagtaillug.stream.StreamOrigin;

/**
 * Selects the upstream and the path of the next attempt of a request. A stream that has begun goes on only at upstreams
 * of the pool and version that began it.
 */
final class AttemptSelection {
    private static final String UNREADABLE =
            "the versions of the upstreams cannot be read from the store or from other nodes";

    /** Allowance for the difference between the clocks of nodes and of upstreams. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(500);

    private final UpstreamDirectory directory;
    private final WallClock wallClock;
    private final UpstreamChooser chooser;
    private final UpstreamPaths paths;
    private final RolloutExchange rollouts;
    private final StreamExchange streams;
    private final Function<Instant, FeedExchange.Confirmation> directoryConfirmation;
    private final FlowLog log;

    /** The next attempt, or why there is none. */
    sealed interface Selection {
        /**
         * The request can be sent.
         *
         * @param upstream the target
         * @param path how the request gets there
         * @param prompt the prompt by which the target was chosen
         */
        record Selected(Upstream upstream, UpstreamPath path, UpstreamChooser.Prompt prompt) implements Selection {}

        /**
         * An upstream or a path may become available.
         *
         * @param reachable whether there is a path, so that only the limits of the upstreams stand against an attempt
         */
        record Unavailable(boolean reachable) implements Selection {}

        /** The directory must be read first, as an upstream may have restarted at another version. */
        record Unconfirmed() implements Selection {}

        /**
         * No attempt is possible.
         *
         * @param code the result of the request
         * @param message the cause
         */
        record Impossible(ResultCode code, String message) implements Selection {}
    }

    AttemptSelection(
            UpstreamState upstreams,
            UpstreamChooser chooser,
            RolloutExchange rollouts,
            StreamExchange streams,
            FlowLog log) {
        this.directory = upstreams.directory();
        this.wallClock = upstreams.wallClock();
        this.paths = upstreams.paths();
        this.chooser = chooser;
        this.rollouts = rollouts;
        this.streams = streams;
        this.directoryConfirmation = upstreams.directoryConfirmation();
        this.log = log;
    }

    /**
     * Selects the next attempt.
     *
     * @param inputsDomain the failure domain that holds most of the inputs
     * @param assigned the upstreams that are used if possible, in order; empty if none were assigned
     */
    Selection select(
            Flow flow,
            ServingConfiguration configuration,
            Optional<DomainId> inputsDomain,
            List<VmId> assigned,
            Instant now) {
        Optional<PoolProfile> pool = configuration.pool(flow.pool());
        if (pool.isEmpty() || directory.usable(flow.pool()).isEmpty()) {
            return new Selection.Impossible(
                    ResultCode.NO_UPSTREAM, "pool \"" + flow.pool() + "\" has no available upstream");
        }
        Optional<Selection> unconfirmed = confirmDirectory(flow);
        if (unconfirmed.isPresent()) {
            return unconfirmed.get();
        }
        Optional<Selection.Impossible> obstacle = obstacleToContinue(flow, now);
        if (obstacle.isPresent()) {
            return obstacle.get();
        }
        return switch (paths.choose(flow.pool(), flow.request().id(), flow.attempts(), now)) {
            case UpstreamPaths.Choice.Found found ->
                select(flow, pool.get(), found.path(), inputsDomain, assigned, now);
            case UpstreamPaths.Choice.Searching ignored -> new Selection.Unavailable(false);
            case UpstreamPaths.Choice.None ignored ->
                new Selection.Impossible(ResultCode.NO_UPSTREAM, "no node has a path to pool \"" + flow.pool() + "\"");
        };
    }

    /** An upstream may have restarted at another version, so the directory is read before a stream goes on. */
    private Optional<Selection> confirmDirectory(Flow flow) {
        if (flow.stream().isEmpty()) {
            return Optional.empty();
        }
        return switch (directoryConfirmation.apply(flow.untargetedSince())) {
            case CONFIRMED -> Optional.empty();
            case PENDING -> Optional.of(new Selection.Unconfirmed());
            case IMPOSSIBLE -> Optional.of(new Selection.Impossible(ResultCode.STREAM_NOT_RESUMABLE, UNREADABLE));
        };
    }

    private Selection select(
            Flow flow,
            PoolProfile pool,
            UpstreamPath path,
            Optional<DomainId> inputsDomain,
            List<VmId> assigned,
            Instant now) {
        UpstreamChooser.Prompt prompt = new UpstreamChooser.Prompt(
                flow.request().promptSegments(),
                flow.request().promptTokens(),
                inputsDomain,
                flow.estimatedInputBytes());
        Set<VmId> excluded = flow.excludedUpstreams(path);
        boolean direct = path instanceof UpstreamPath.Direct;
        Optional<Upstream> chosen = assigned(flow, pool, direct ? assigned : List.of(), excluded, now)
                .or(() -> choose(flow, pool, excluded, prompt, now));
        return chosen.isPresent()
                ? new Selection.Selected(chosen.get(), path, prompt)
                : new Selection.Unavailable(true);
    }

    /** The first of the assigned upstreams that may get the request; empty if none may. */
    private Optional<Upstream> assigned(
            Flow flow, PoolProfile pool, List<VmId> assigned, Set<VmId> excluded, Instant now) {
        if (assigned.isEmpty() || flow.stream().isPresent()) {
            return Optional.empty();
        }
        VersionRule rule = rollouts.rule(flow.pool(), flow.request().id(), flow.attempts() == 0);
        return chooser.firstAllowed(pool, rule, assigned, excluded, now);
    }

    private Optional<Upstream> choose(
            Flow flow, PoolProfile pool, Set<VmId> excluded, UpstreamChooser.Prompt prompt, Instant now) {
        if (flow.stream().isPresent()) {
            Set<VmId> doubtful = new HashSet<>(excluded);
            for (Upstream upstream : usable(flow, now)) {
                if (directory.mayHaveRestarted(upstream.id(), now)) {
                    doubtful.add(upstream.id());
                }
            }
            return continuation(flow, now).flatMap(rule -> chooser.choose(pool, rule, doubtful, prompt, now));
        }
        VersionRule rule = rollouts.rule(flow.pool(), flow.request().id(), flow.attempts() == 0);
        return chooser.choose(pool, rule, excluded, prompt, now)
                .or(() -> chooser.choose(pool, rollouts.stableVersions(flow.pool()), excluded, prompt, now));
    }

    /** The upstreams that may get a request, whether they have been tried or not. */
    private List<Upstream> usable(Flow flow, Instant now) {
        if (flow.stream().isEmpty()) {
            return directory.usable(flow.pool());
        }
        return continuation(flow, now)
                .map(rule -> directory.usable(flow.pool(), rule))
                .orElse(List.of());
    }

    /** Which versions may continue the stream of a request; empty if none may. */
    private Optional<VersionRule> continuation(Flow flow, Instant now) {
        if (!(streams.find(flow.stream().get(), now) instanceof StreamExchange.Finding.Found found)
                || !found.origin().pool().equals(flow.pool())
                || mayHaveBegunElsewhere(found.origin(), now)) {
            return Optional.empty();
        }
        VersionKey version = found.origin().version();
        boolean permitted = directory.usable(flow.pool(), new VersionRule.Exactly(version)).stream()
                .allMatch(upstream -> rollouts.permitsContinuation(
                        flow.pool(), upstream.listing().version()));
        return permitted ? Optional.of(new VersionRule.Exactly(version)) : Optional.empty();
    }

    /**
     * Whether another version than the recorded one may have begun a stream: its upstream restarted under its id before the
     * first event, and the entry of that run came later.
     */
    private boolean mayHaveBegunElsewhere(StreamOrigin origin, Instant now) {
        return origin.sender()
                .filter(sender -> directory.restarted(
                        sender.upstream(),
                        sender.incarnation(),
                        wallClock.wallTime(now.minus(sender.age()).plus(CLOCK_TOLERANCE))))
                .isPresent();
    }

    /**
     * Binds a request to the stream that its caller takes up, once it is known where that began.
     *
     * @return why the stream cannot go on, or not yet; empty if the request is bound
     */
    Optional<Selection> bindToStream(Flow flow, Instant now) {
        return switch (origin(flow, now)) {
            case StreamExchange.Finding.Searching ignored -> Optional.of(new Selection.Unavailable(true));
            case StreamExchange.Finding.Unknown unknown ->
                Optional.of(new Selection.Impossible(
                        ResultCode.STREAM_NOT_RESUMABLE,
                        "it is not known at which version the stream began: " + unknown.reason()));
            case StreamExchange.Finding.Found found -> {
                // The directory has been read for a request that names no stream, which need not wait for it again.
                flow.bind(found.origin().stream(), found.origin().pool(), namesStream(flow) ? now : flow.arrivedAt());
                log.streamContinues(flow, found.origin(), now);
                yield obstacleToContinue(flow, now).map(obstacle -> obstacle);
            }
        };
    }

    private static boolean namesStream(Flow flow) {
        return flow.request().resumption().flatMap(Resumption::stream).isPresent();
    }

    private StreamExchange.Finding origin(Flow flow, Instant now) {
        if (!flow.route().resumable()) {
            return new StreamExchange.Finding.Unknown("streams of its route cannot be resumed");
        }
        Optional<RequestId> stream = flow.request().resumption().flatMap(Resumption::stream);
        if (stream.isEmpty()) {
            return onlyOrigin(flow, now);
        }
        StreamExchange.Finding finding = streams.find(stream.get(), now);
        if (finding instanceof StreamExchange.Finding.Found found
                && !flow.route().uses(found.origin().pool())) {
            return new StreamExchange.Finding.Unknown(
                    "its route no longer uses pool \"" + found.origin().pool() + "\"");
        }
        return finding;
    }

    /** Another node may have begun the stream at a version that this one has not heard of, so the directory is read first. */
    private StreamExchange.Finding onlyOrigin(Flow flow, Instant now) {
        return switch (directoryConfirmation.apply(flow.arrivedAt())) {
            case CONFIRMED -> streams.onlyOrigin(flow, now);
            case PENDING -> new StreamExchange.Finding.Searching();
            case IMPOSSIBLE ->
                new StreamExchange.Finding.Unknown("its caller names no earlier request, and " + UNREADABLE);
        };
    }

    /** Why the stream of a request cannot go on now or later; empty if it can, or if the request begins a new one. */
    Optional<Selection.Impossible> obstacleToContinue(Flow flow, Instant now) {
        if (flow.stream().isEmpty() || !usable(flow, now).isEmpty()) {
            return Optional.empty();
        }
        String message = "no available upstream of pool \"" + flow.pool() + "\" has the version at which stream \""
                + flow.stream().get() + "\" began";
        return Optional.of(new Selection.Impossible(ResultCode.STREAM_NOT_RESUMABLE, message));
    }

    /** The failure domain of the upstream that would be selected now; empty if there is none. */
    Optional<DomainId> expectedDomain(Flow flow, ServingConfiguration configuration, Instant now) {
        UpstreamChooser.Prompt prompt = new UpstreamChooser.Prompt(
                flow.request().promptSegments(), flow.request().promptTokens(), Optional.empty(), 0);
        return configuration
                .pool(flow.pool())
                .flatMap(pool -> choose(flow, pool, flow.triedUpstreams(), prompt, now))
                .map(Upstream::domain);
    }

    /** Whether another upstream may get the request if the one that it is being sent to stops responding. */
    boolean retryableElsewhere(Flow flow, Instant now) {
        boolean attemptsLeft = flow.executions() + 1 < flow.route().attempts();
        boolean untried = usable(flow, now).stream()
                .anyMatch(upstream -> !flow.triedUpstreams().contains(upstream.id()));
        return flow.route().repeatable() && attemptsLeft && untried;
    }

    /** Whether what upstreams announce allows an attempt at an untried one by a time. */
    boolean announcementsAllow(Flow flow, Instant until, Instant now) {
        return chooser.announcementsAllow(usable(flow, now), flow.triedUpstreams(), until, now);
    }
}
