package org.wagtaillug.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord.StateMember;

/**
 * The peers that a node probes. All nodes stand on a ring in the order of their names' hashes, and each watches the next
 * eight. So each is watched by exactly eight, whatever the size of the fleet; scoring every pair of nodes would give eight
 * on average only, at a cost that grows with the square.
 */
final class WatchList {
    private final NodeId self;
    private final Rendezvous rendezvous;
    private Map<VmId, Watch> watches = new LinkedHashMap<>();

    WatchList(NodeId self, Rendezvous rendezvous) {
        this.self = self;
        this.rendezvous = rendezvous;
    }

    Collection<Watch> all() {
        return watches.values();
    }

    Optional<Watch> of(VmId vm) {
        return Optional.ofNullable(watches.get(vm));
    }

    /** Chooses anew; what is known of those that stay is kept. */
    void refresh(List<StateMember> peers, Instant now) {
        List<StateMember> ring = new ArrayList<>(peers);
        Comparator<StateMember> byDistance = (one, other) -> Long.compareUnsigned(
                distance(one.node().vm()), distance(other.node().vm()));
        Collections.sort(ring, byDistance.thenComparing(StateMember::node));
        Map<VmId, Watch> chosen = new LinkedHashMap<>();
        for (StateMember peer : ring) {
            if (chosen.size() >= Members.WATCHED) {
                break;
            }
            VmId vm = peer.node().vm();
            chosen.put(vm, watch(peer, chosen.size(), now));
        }
        watches = chosen;
    }

    private Watch watch(StateMember peer, int rank, Instant now) {
        // A seed is known by its VM only; its join is not on record.
        Optional<NodeId> node = peer.joined() == 0 ? Optional.empty() : Optional.of(peer.node());
        Watch known = watches.get(peer.node().vm());
        if (known != null && (known.node().equals(node) || known.identify(node))) {
            known.rank(rank);
            return known;
        }
        return new Watch(peer.node().vm(), node, rank, now);
    }

    /** The way from this node to another along the ring, as an unsigned number. */
    private long distance(VmId vm) {
        return rendezvous.hash(vm.value()) - rendezvous.hash(self.vm().value());
    }
}
