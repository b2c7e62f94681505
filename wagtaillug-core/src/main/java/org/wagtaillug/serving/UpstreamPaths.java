package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.wagtaillug.batch.BatchCallEnd;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.peer.Peers;
import org.wagtaillug.reachability.Reachability;

/**
 * Finds the paths of requests to upstreams, and offers this node's paths to other nodes.
 *
 * <p>A node that can be reached by callers and peers may be unable to connect to upstreams. It then sends requests
 * through tunnels of peers that can, and reports to all peers which pools it has lost, so that no duty stays with it
 * that needs them.
 */
final class UpstreamPaths {
    /** The number of peers among which a node divides the requests to a pool that it cannot connect to. */
    static final int TUNNEL_PEERS = 3;

    /** Time to find peers with a path after a pool became unreachable. */
    private static final Duration SEARCH_TIME = Duration.ofMillis(600);

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final Peers peers;
    private final boolean acceptsTunnels;
    private final Consumer<ServingEffect> effects;
    private final Reachability reachability;
    private final Map<PoolId, Instant> lostSince = new HashMap<>();
    private Set<PoolId> doubtfulPools = Set.of();
    private boolean doubtRaised;
    private long polledChanges;

    /** The path that a request may take now. */
    sealed interface Choice {
        /**
         * There is a path.
         *
         * @param path the path
         */
        record Found(UpstreamPath path) implements Choice {}

        /** Peers with a path are being looked for. */
        record Searching() implements Choice {}

        /** Neither this node nor any peer that it knows has a path. */
        record None() implements Choice {}
    }

    UpstreamPaths(
            ServingSetup setup,
            UpstreamDirectory directory,
            UpstreamHealth health,
            Peers peers,
            Consumer<ServingEffect> effects) {
        this.directory = directory;
        this.health = health;
        this.peers = peers;
        this.acceptsTunnels = setup.acceptsTunnels();
        this.effects = effects;
        this.reachability = new Reachability(directory);
    }

    /** The name of the duty to forward connections to a pool. */
    static String tunnels(PoolId pool) {
        return "tunnels/" + pool;
    }

    /** Selects the path of an attempt; the attempts of a request are divided among several peers. */
    Choice choose(PoolId pool, RequestId request, int attempt, Instant now) {
        if (!reachability.suspect(pool)) {
            return new Choice.Found(UpstreamPath.DIRECT);
        }
        List<VmId> offering = acceptsTunnels ? peers.holders(tunnels(pool), TUNNEL_PEERS, false, now) : List.of();
        if (!offering.isEmpty()) {
            int index = Math.floorMod(request.hashCode() + attempt, offering.size());
            return new Choice.Found(new UpstreamPath.ThroughPeer(offering.get(index)));
        }
        if (!reachability.unreachable(pool)) {
            return new Choice.Found(UpstreamPath.DIRECT);
        }
        boolean searching = now.isBefore(lostSince.getOrDefault(pool, now).plus(SEARCH_TIME));
        return searching ? new Choice.Searching() : new Choice.None();
    }

    /** Whether this node has lost its path to a pool. */
    boolean unreachable(PoolId pool) {
        return reachability.unreachable(pool);
    }

    /** The pools for which peers with a path are needed. */
    Set<PoolId> doubtfulPools() {
        return doubtfulPools;
    }

    /** What this node reports to others. */
    ServingMessage.Paths report() {
        return new ServingMessage.Paths(reachability.unreachablePools(), acceptsTunnels);
    }

    /** Whether the unreachable or doubtful pools may have changed since the last call. */
    boolean pollChanged(Instant now) {
        boolean changed = reachability.changes() != polledChanges || doubtRaised;
        polledChanges = reachability.changes();
        doubtRaised = false;
        if (changed) {
            doubtfulPools = reachability.doubtfulPools(now);
        }
        return changed;
    }

    /** Records that this node has opened a connection to an upstream at a time. */
    void onConnected(VmId id, Instant at) {
        directory.find(id).ifPresent(upstream -> {
            if (reachability.onConnected(upstream, at)) {
                lostSince.remove(upstream.pool());
                log(Decision.builder("pool_reachable")
                        .field("pool", upstream.pool())
                        .field("upstream", id));
            }
        });
    }

    /** Records that this node could not open a connection to an upstream. */
    void onConnectFailed(VmId id, String reason, Instant now) {
        directory.find(id).ifPresent(upstream -> onConnectFailed(upstream, reason, now));
    }

    private void onConnectFailed(Upstream upstream, String reason, Instant now) {
        PoolId pool = upstream.pool();
        if (reachability.onFailed(upstream, now)) {
            lostSince.put(pool, now);
            // The upstreams did not fail; they must be usable through peers.
            health.clearFailures(
                    directory.usable(pool).stream().map(Upstream::id).toList());
            directory.clearConnectionFailures(pool);
            log(Decision.builder("pool_unreachable")
                    .field("pool", pool)
                    .field("upstream", upstream.id())
                    .field("reason", reason)
                    .field("upstreams", directory.usable(pool).size()));
        }
    }

    /** Records that an open connection has failed or stalled. */
    void onBroken(VmId id, Instant now) {
        directory.find(id).ifPresent(upstream -> reachability.onBroken(upstream, now));
    }

    /** Processes the end of an attempt of this node to connect, for a probe or for a peer's tunnel. */
    void onConnectEnded(ServingEvent.ConnectEnded ended, Instant now) {
        if (ended.failure().isEmpty()) {
            onConnected(ended.upstream(), now);
            return;
        }
        onConnectFailed(ended.upstream(), ended.failure().get(), now);
    }

    /** Processes the end of a call to a stage server. */
    void onCallEnded(VmId server, BatchCallEnd end, Instant now) {
        switch (end) {
            case BatchCallEnd.Unsent unsent -> onConnectFailed(server, unsent.reason(), now);
            case BatchCallEnd.Broken ignored -> onBroken(server, now);
            case BatchCallEnd.Answered ignored -> {
                // Calls reuse connections, so an answer does not show that new ones can be opened.
            }
            case BatchCallEnd.NotRun ignored -> {
                // As above.
            }
        }
    }

    /** Starts the probes that are due, and notices suspicions that have lasted. */
    void onTick(Instant now) {
        doubtRaised |= !doubtfulPools.containsAll(reachability.doubtfulPools(now));
        for (VmId id : reachability.probesDue(now)) {
            directory
                    .find(id)
                    .ifPresent(upstream -> effects.accept(new ServingEffect.ProbeUpstream(upstream.listing())));
        }
    }

    /** Opens a tunnel for a peer, unless this node knows that the upstream must get no new work. */
    void onTunnelRequested(ServingEvent.TunnelRequested requested, boolean acceptsWork, Instant now) {
        Optional<Upstream> upstream = directory
                .find(requested.upstream())
                .filter(known -> known.listing().incarnation() == requested.incarnation())
                .filter(known -> directory.usable(known.id()))
                .filter(known -> acceptsWork && !reachability.unreachable(known.pool()));
        if (upstream.isEmpty()) {
            effects.accept(new ServingEffect.RefuseTunnel(requested.number()));
            log(Decision.builder("tunnel_refused").field("upstream", requested.upstream()));
            return;
        }
        effects.accept(
                new ServingEffect.OpenTunnel(requested.number(), upstream.get().listing()));
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }
}
