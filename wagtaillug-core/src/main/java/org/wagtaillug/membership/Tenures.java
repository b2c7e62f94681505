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
     * How long this node has owned an upstream.
     *
     * @param fencingNumber the offset of the roster record that gave it
     * @param gainedAt when this node read that record
     */
    record Tenure(long fencingNumber, Instant gainedAt) {}

    void rosterChanged(long offset, Instant now) {
        Tenure gained = new Tenure(offset, now);
        lastChange = Optional.of(gained);
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
        List<NodeId> near = new ArrayList<>();
        List<NodeId> all = new ArrayList<>();
        for (StateMember member : state.members()) {
            all.add(member.node());
            if (member.address().domain().equals(place.domain())) {
                near.add(member.node());
            }
        }
        return best(place, near.isEmpty() ? all : near);
    }

    private Optional<NodeId> best(Place place, List<NodeId> candidates) {
        NodeId best = null;
        long bestScore = Long.MIN_VALUE;
        for (NodeId candidate : candidates) {
            long score = rendezvous.score(place.vm().value(), candidate.vm().value());
            if (best == null || score > bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
