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
 * Who owns which upstream by the roster, and since when this node owns those that it does.
 *
 * <p>Each roster record is judged alone, also when many are read at once: a node that was removed and joined again must
 * notice that others may have owned its upstreams between.
 */
final class Tenures {
    private final NodeId self;
    private final ControlState state;
    private final Rendezvous rendezvous = new Rendezvous();
    private final Map<Place, Tenure> held = new HashMap<>();
    private final Map<Place, Optional<NodeId>> owners = new HashMap<>();
    private final List<Candidate> candidates = new ArrayList<>();
    private final Map<DomainId, List<Candidate>> candidatesByDomain = new HashMap<>();
    private long candidatesOf = -1;
    private Set<Place> listed = Set.of();
    private Optional<Tenure> lastChange = Optional.empty();

    Tenures(NodeId self, ControlState state) {
        this.self = self;
        this.state = state;
    }

    /**
     * An upstream as far as its owner depends on it. A VM never moves to another failure domain: one of the same name
     * elsewhere is another server.
     */
    private record Place(VmId vm, DomainId domain) {
        static Place of(Vm upstream) {
            return new Place(upstream.id(), upstream.domain());
        }
    }

    /**
     * A member that may own upstreams.
     *
     * @param node which
     * @param hash of its VM's name
     */
    private record Candidate(NodeId node, long hash) {}

    /**
     * How long this node has owned an upstream.
     *
     * @param fencingNumber the offset of the roster record that gave it
     * @param gainedAt when this node read that record
     */
    record Tenure(long fencingNumber, Instant gainedAt) {}

    void rosterChanged(long offset, Instant now) {
        Tenure gained = new Tenure(offset, now);
        lastChange = Optional.of(gained);
        candidatesOf = -1;
        owners.clear();
        for (Place place : listed) {
            if (isOwn(place)) {
                held.putIfAbsent(place, gained);
                continue;
            }
            held.remove(place);
        }
    }

    /** The roster was taken over whole: any record may have been between, so that nothing counts as held since before. */
    void rosterReplaced(long through, Instant now) {
        held.clear();
        rosterChanged(through, now);
    }

    void listed(List<Vm> vms) {
        Set<Place> places = new HashSet<>();
        for (Vm vm : vms) {
            if (vm.upstream()) {
                places.add(Place.of(vm));
            }
        }
        listed = places;
        held.keySet().retainAll(places);
        owners.keySet().retainAll(places);
        for (Place place : places) {
            // It was not watched when the roster changed last, so that change may be the one that gave it.
            if (!held.containsKey(place) && lastChange.isPresent() && isOwn(place)) {
                held.put(place, lastChange.get());
            }
        }
    }

    /** This node's tenure of an upstream, if it owns it. */
    Optional<Tenure> tenure(Vm upstream) {
        Place place = Place.of(upstream);
        if (!isOwn(place)) {
            return Optional.empty();
        }
        Tenure known = held.get(place);
        return known == null ? lastChange : Optional.of(known);
    }

    Optional<NodeId> ownerOf(Vm upstream) {
        return ownerOf(Place.of(upstream));
    }

    private boolean isOwn(Place place) {
        return ownerOf(place).filter(self::equals).isPresent();
    }

    private Optional<NodeId> ownerOf(Place place) {
        Optional<NodeId> known = owners.get(place);
        if (known != null) {
            return known;
        }
        Optional<NodeId> owner = choose(place);
        if (listed.contains(place)) {
            owners.put(place, owner);
        }
        return owner;
    }

    private Optional<NodeId> choose(Place place) {
        List<Candidate> near = candidatesIn(place.domain());
        long subject = rendezvous.hash(place.vm().value());
        Optional<NodeId> best = Optional.empty();
        long bestScore = Long.MIN_VALUE;
        for (Candidate candidate : near.isEmpty() ? candidates : near) {
            long score = Rendezvous.score(subject, candidate.hash());
            if (best.isPresent() && score <= bestScore) {
                continue;
            }
            best = Optional.of(candidate.node());
            bestScore = score;
        }
        return best;
    }

    /** The members of a domain. All members are sorted out once for each roster, not for each upstream. */
    private List<Candidate> candidatesIn(DomainId domain) {
        if (candidatesOf != state.rosterOffset()) {
            candidatesOf = state.rosterOffset();
            sortCandidates();
        }
        return candidatesByDomain.getOrDefault(domain, List.of());
    }

    private void sortCandidates() {
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
