package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.quarantine.UpstreamRun;

/**
 * The requests whose answers broke off and that may go on at a further upstream only if one of those before has ended or is
 * cut off. A reset connection does not tell this, so these upstreams are probed.
 */
final class LivenessChecks {
    /** Longer than the timeout of a connection; an upstream whose probe is still open then counts as going on. */
    private static final Duration TIMEOUT = Duration.ofMillis(600);

    private final UpstreamDirectory directory;
    private final Consumer<ServingEffect> effects;
    private final Map<RequestId, Check> checks = new LinkedHashMap<>();
    private final Map<VmId, Instant> probes = new HashMap<>();

    private record Check(Set<VmId> undecided, Instant until) {}

    LivenessChecks(UpstreamDirectory directory, Consumer<ServingEffect> effects) {
        this.directory = directory;
        this.effects = effects;
    }

    /**
     * Probes the upstreams that broke off the answer of a request, if it depends on them whether it may go on.
     *
     * @return whether the request must wait until it is returned by {@link #pollDecided}
     */
    boolean await(Flow flow, Instant now) {
        recordEnded(flow);
        if (!flow.route().repeatable() || !flow.attemptsDependOnLiveness()) {
            return false;
        }
        Set<VmId> undecided = new HashSet<>();
        for (UpstreamRun run : flow.undecidedRuns()) {
            undecided.add(run.upstream());
            listed(run).ifPresent(upstream -> probe(upstream, now));
        }
        checks.put(flow.request().id(), new Check(undecided, now.plus(TIMEOUT)));
        return true;
    }

    /** Records the upstreams that broke off the answer of a request and whose entries show that they have ended. */
    private void recordEnded(Flow flow) {
        for (UpstreamRun run : flow.undecidedRuns()) {
            if (listed(run).isEmpty()) {
                flow.onUpstreamEnded(run.upstream());
            }
        }
    }

    private Optional<Upstream> listed(UpstreamRun run) {
        return directory
                .find(run.upstream())
                .filter(upstream -> upstream.listing().incarnation() == run.incarnation());
    }

    private void probe(Upstream upstream, Instant now) {
        Instant openUntil = probes.getOrDefault(upstream.id(), Instant.EPOCH);
        if (now.isBefore(openUntil)) {
            return;
        }
        probes.put(upstream.id(), now.plus(TIMEOUT));
        effects.accept(new ServingEffect.ProbeUpstream(upstream.listing()));
    }

    /** Records for requests whether an upstream has been reached. */
    void onConnectEnded(Collection<Flow> flows, ServingEvent.ConnectEnded ended) {
        VmId upstream = ended.upstream();
        for (Flow flow : flows) {
            if (ended.failure().isPresent()) {
                flow.onUpstreamEnded(upstream);
            } else {
                flow.onUpstreamReached(upstream);
            }
        }
        probes.remove(upstream);
        checks.values().forEach(check -> check.undecided().remove(upstream));
    }

    /** Returns and forgets the requests whose upstreams are known to go on or not, or have not answered in time. */
    List<RequestId> pollDecided(Instant now) {
        probes.values().removeIf(openUntil -> !now.isBefore(openUntil));
        List<RequestId> decided = new ArrayList<>();
        for (Map.Entry<RequestId, Check> entry : List.copyOf(checks.entrySet())) {
            if (entry.getValue().undecided().isEmpty()
                    || !now.isBefore(entry.getValue().until())) {
                checks.remove(entry.getKey());
                decided.add(entry.getKey());
            }
        }
        return decided;
    }

    /** Records that a request has ended. */
    void remove(RequestId request) {
        checks.remove(request);
    }
}
