package org.wagtaillug.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord.StateMember;

/**
 * The peers that a node probes: all of them up to eight, and else eight that are spread over the failure domains, as few
 * as possible in the node's own. So a domain that is cut off as a whole does not hear most of those it watches, and does
 * not take its own chatter for a majority.
 *
 * <p>Within a domain the nodes stand on a ring in the order of their names' hashes; a node watches as many in a row as the
 * domain's part of the eight is, from a place that its own rank in the whole roster gives. So each is watched by about
 * eight; to score every pair of nodes instead would cost the square of the fleet at each change.
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

    /**
     * Chooses anew; what is known of those that stay is kept.
     *
     * @param peers all other members, or the seeds
     * @param own this node's failure domain
     */
    void refresh(List<StateMember> peers, DomainId own, Instant now) {
        Map<DomainId, List<StateMember>> rings = rings(peers);
        Map<DomainId, Integer> shares = shares(rings, own);
        int rank = rank(peers);
        Map<VmId, Watch> chosen = new LinkedHashMap<>();
        for (Map.Entry<DomainId, List<StateMember>> domain : rings.entrySet()) {
            List<StateMember> ring = domain.getValue();
            int first = domain.getKey().equals(own) ? rank(ring) : rank * ring.size() / (peers.size() + 1);
            int share = shares.get(domain.getKey());
            for (int step = 0; step < share; step++) {
                StateMember peer = ring.get((first + step) % ring.size());
                chosen.put(peer.node().vm(), watch(peer, now));
            }
        }
        watches = chosen;
    }

    private Map<DomainId, List<StateMember>> rings(List<StateMember> peers) {
        List<StateMember> ordered = new ArrayList<>(peers);
        ordered.sort(
                Comparator.comparingLong((StateMember peer) -> place(peer.node().vm()))
                        .thenComparing(StateMember::node));
        Map<DomainId, List<StateMember>> rings = new TreeMap<>();
        for (StateMember peer : ordered) {
            rings.computeIfAbsent(peer.address().domain(), domain -> new ArrayList<>())
                    .add(peer);
        }
        return rings;
    }

    /** How many to watch in each domain: dealt out one by one, the node's own domain last. */
    private static Map<DomainId, Integer> shares(Map<DomainId, List<StateMember>> rings, DomainId own) {
        List<DomainId> order = new ArrayList<>(rings.keySet());
        if (order.remove(own)) {
            order.add(own);
        }
        Map<DomainId, Integer> shares = new TreeMap<>();
        int left = Members.WATCHED;
        int before = -1;
        while (left != before) {
            before = left;
            for (DomainId domain : order) {
                int share = shares.getOrDefault(domain, 0);
                boolean more = left > 0 && share < rings.get(domain).size();
                shares.put(domain, more ? share + 1 : share);
                left -= more ? 1 : 0;
            }
        }
        return shares;
    }

    /** How many of them come before this node on the ring. */
    private int rank(List<StateMember> peers) {
        int before = 0;
        for (StateMember peer : peers) {
            if (place(peer.node().vm()) < place(self.vm())) {
                before++;
            }
        }
        return before;
    }

    private long place(VmId vm) {
        return rendezvous.hash(vm.value());
    }

    private Watch watch(StateMember peer, Instant now) {
        VmId vm = peer.node().vm();
        // A seed is known by its VM only; its join is not on record.
        Optional<NodeId> node = peer.joined() == 0 ? Optional.empty() : Optional.of(peer.node());
        Watch known = watches.get(vm);
        if (known != null && (known.node().equals(node) || known.identify(node))) {
            return known;
        }
        int turn = (int)
                Long.remainderUnsigned(rendezvous.score(vm.value(), self.vm().value()), Members.WATCHED);
        return new Watch(vm, node, turn, now);
    }
}
