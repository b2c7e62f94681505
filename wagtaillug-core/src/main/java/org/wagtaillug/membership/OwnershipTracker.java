package org.wagtaillug.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord.StateMember;

/**
 * Determines the owner of each upstream from the roster, and since when this node has owned its upstreams.
 *
 * <p>Each roster record is evaluated on its own, also when many are read at once: a node that was removed and has
 * joined again must notice that others may have owned its upstreams in between.
 */
final class OwnershipTracker {
    private final NodeId self;
    private final ControlState state;
    private final Rendezvous rendezvous = new Rendezvous();
    private final Map<UpstreamKey, OwnershipPeriod> owned = new HashMap<>();
    private final Map<UpstreamKey, Optional<NodeId>> owners = new HashMap<>();
    private final List<Candidate> candidates = new ArrayList<>();
    private final Map<DomainId, List<Candidate>> candidatesByDomain = new HashMap<>();
    private long candidatesOffset = -1;
    private Set<UpstreamKey> listed = Set.of();
    private Optional<OwnershipPeriod> lastChange = Optional.empty();

    OwnershipTracker(NodeId self, ControlState state) {
        this.self = self;
        this.state = state;
    }

    /**
     * The properties of an upstream that determine its owner. A VM never moves to another failure domain: one of the
     * same name in another domain is a different server.
     */
    private record UpstreamKey(VmId vm, DomainId domain) {
        static UpstreamKey of(Vm upstream) {
            return new UpstreamKey(upstream.id(), upstream.domain());
        }
    }

    /**
     * A member that may own upstreams.
     *
     * @param node its id
     * @param hash the hash of the name of its VM
     */
    private record Candidate(NodeId node, long hash) {}

    /**
     * The period for which this node has owned an upstream.
     *
     * @param fencingNumber the offset of the roster record that assigned it
     * @param gainedAt when this node read that record
     */
    record OwnershipPeriod(long fencingNumber, Instant gainedAt) {}

    void rosterChanged(long offset, Instant now) {
        OwnershipPeriod gained = new OwnershipPeriod(offset, now);
        lastChange = Optional.of(gained);
        candidatesOffset = -1;
        owners.clear();
        for (UpstreamKey upstream : listed) {
            if (isOwn(upstream)) {
                owned.putIfAbsent(upstream, gained);
                continue;
            }
            owned.remove(upstream);
        }
    }

    /**
     * The roster was replaced as a whole: other owners may have existed in between, so no upstream counts as owned
     * since before.
     */
    void rosterReplaced(long through, Instant now) {
        owned.clear();
        rosterChanged(through, now);
    }

    void listed(List<Vm> vms) {
        Set<UpstreamKey> upstreams = new HashSet<>();
        for (Vm vm : vms) {
            if (vm.upstream()) {
                upstreams.add(UpstreamKey.of(vm));
            }
        }
        listed = upstreams;
        owned.keySet().retainAll(upstreams);
        owners.keySet().retainAll(upstreams);
        for (UpstreamKey upstream : upstreams) {
            // The upstream was not listed at the last roster change, so that change may have assigned it.
            if (!owned.containsKey(upstream) && lastChange.isPresent() && isOwn(upstream)) {
                owned.put(upstream, lastChange.get());
            }
        }
    }

    /** This node's period of ownership of an upstream, if it is the owner. */
    Optional<OwnershipPeriod> ownershipPeriod(Vm upstream) {
        UpstreamKey key = UpstreamKey.of(upstream);
        if (!isOwn(key)) {
            return Optional.empty();
        }
        OwnershipPeriod known = owned.get(key);
        return known == null ? lastChange : Optional.of(known);
    }

    Optional<NodeId> ownerOf(Vm upstream) {
        return ownerOf(UpstreamKey.of(upstream));
    }

    private boolean isOwn(UpstreamKey upstream) {
        return ownerOf(upstream).filter(self::equals).isPresent();
    }

    private Optional<NodeId> ownerOf(UpstreamKey upstream) {
        Optional<NodeId> known = owners.get(upstream);
        if (known != null) {
            return known;
        }
        Optional<NodeId> owner = selectOwner(upstream);
        if (listed.contains(upstream)) {
            owners.put(upstream, owner);
        }
        return owner;
    }

    private Optional<NodeId> selectOwner(UpstreamKey upstream) {
        List<Candidate> inDomain = candidatesIn(upstream.domain());
        long subject = rendezvous.hash(upstream.vm().value());
        Optional<NodeId> best = Optional.empty();
        long bestScore = Long.MIN_VALUE;
        for (Candidate candidate : inDomain.isEmpty() ? candidates : inDomain) {
            long score = Rendezvous.score(subject, candidate.hash());
            if (best.isPresent() && score <= bestScore) {
                continue;
            }
            best = Optional.of(candidate.node());
            bestScore = score;
        }
        return best;
    }

    /** The members of a domain. They are grouped once for each roster, not for each upstream. */
    private List<Candidate> candidatesIn(DomainId domain) {
        if (candidatesOffset != state.rosterOffset()) {
            candidatesOffset = state.rosterOffset();
            groupCandidates();
        }
        return candidatesByDomain.getOrDefault(domain, List.of());
    }

    private void groupCandidates() {
        candidates.clear();
        candidatesByDomain.clear();
        for (StateMember member : state.members()) {
            Candidate candidate = new Candidate(
                    member.node(), rendezvous.hash(member.node().vm().value()));
            candidates.add(candidate);
            candidatesByDomain
                    .computeIfAbsent(member.address().domain(), domain -> new ArrayList<>())
                    .add(candidate);
        }
    }
}
