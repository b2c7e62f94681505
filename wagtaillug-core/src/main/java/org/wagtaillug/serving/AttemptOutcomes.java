package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/** Records what the ends of attempts show of upstreams and of the paths to them. */
final class AttemptOutcomes {
    /** An upstream counts as cold for this long after a fault: two renewal periods of its directory entry. */
    private static final Duration ASSUMED_COLD_AFTER_FAULT = Duration.ofMillis(2500);

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final UpstreamPaths paths;

    AttemptOutcomes(UpstreamState upstreams) {
        this.directory = upstreams.directory();
        this.health = upstreams.health();
        this.paths = upstreams.paths();
    }

    /** Records the end of an attempt. */
    void record(Flow flow, Upstream upstream, ServingEvent.SendEnded ended, Instant now) {
        Duration took = Duration.between(flow.sentAt(), now);
        Optional<PoolId> pool = Optional.of(flow.pool());
        switch (ended.end()) {
            case SendEnd.Passed ignored -> {
                health.onEnded(upstream.id(), pool, took, true, now);
                recordConnection(flow, upstream.id());
            }
            case SendEnd.Failed ignored -> {
                health.onEnded(upstream.id(), pool, took, true, now);
                recordConnection(flow, upstream.id());
            }
            case SendEnd.GivenUp ignored -> health.onCancelled(upstream.id());
            case SendEnd.NotRun ignored -> {
                health.onCancelled(upstream.id());
                recordConnection(flow, upstream.id());
            }
            case SendEnd.Unsent unsent -> recordUnsent(flow, upstream, unsent, took, now);
            case SendEnd.NoPath ignored -> {
                health.onCancelled(upstream.id());
                flow.onPathFailed(upstream.id());
            }
            case SendEnd.Broken ignored -> recordBroken(flow, upstream, took, now);
        }
    }

    /** An answer over a connection that was opened for its request shows that connections can be opened. */
    void recordConnection(Flow flow, VmId upstream) {
        if (flow.opensConnection()) {
            paths.onConnected(upstream, flow.sentAt());
        }
    }

    private void recordUnsent(Flow flow, Upstream upstream, SendEnd.Unsent unsent, Duration took, Instant now) {
        if (flow.path() instanceof UpstreamPath.ThroughPeer) {
            recordFault(upstream, took, now);
            return;
        }
        paths.onConnectFailed(upstream.id(), unsent.reason(), now);
        flow.onPathFailed(upstream.id());
        recordPathOrFault(flow, upstream, took, now);
    }

    private void recordBroken(Flow flow, Upstream upstream, Duration took, Instant now) {
        if (flow.path() instanceof UpstreamPath.Direct) {
            paths.onBroken(upstream.id(), now);
        }
        recordPathOrFault(flow, upstream, took, now);
    }

    /** A failure on the path of a node that has lost the whole pool says nothing about the upstream. */
    private void recordPathOrFault(Flow flow, Upstream upstream, Duration took, Instant now) {
        if (flow.path() instanceof UpstreamPath.Direct && paths.unreachable(upstream.pool())) {
            health.onCancelled(upstream.id());
            return;
        }
        recordFault(upstream, took, now);
    }

    /** After a fault the upstream may have restarted and counts as cold until its directory entry says otherwise. */
    private void recordFault(Upstream upstream, Duration took, Instant now) {
        health.onEnded(upstream.id(), Optional.empty(), took, false, now);
        directory.onConnectionFailure(upstream.id(), now.plus(ASSUMED_COLD_AFTER_FAULT));
    }
}
