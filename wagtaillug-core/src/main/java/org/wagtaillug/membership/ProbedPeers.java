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
 * The peers that a node probes: all peers up to eight, otherwise eight that are spread over the failure domains, as few
 * as possible in the domain of the node. So the nodes of a domain that is cut off as a whole do not hear most of their
 * probed peers, and do not take one another for a majority.
 *
 * <p>Within a domain the nodes form a ring ordered by the hashes of their names. A node probes consecutive ring
 * members, as many as the share of the domain in the eight, from a start that depends on its own rank in the whole
 * roster. So each node is probed by about eight others. Scoring every pair of nodes instead would cost the square of
 * the number of nodes at each change.
 */
final class ProbedPeers {
    private final NodeId self;
    private final Rendezvous rendezvous;
    private Map<VmId, ProbedPeer> probed = new LinkedHashMap<>();

    ProbedPeers(NodeId self, Rendezvous rendezvous) {
        this.self = self;
        this.rendezvous = rendezvous;
    }

    Collection<ProbedPeer> all() {
        return probed.values();
    }

    Optional<ProbedPeer> of(VmId vm) {
        return Optional.ofNullable(probed.get(vm));
    }

    /**
     * Selects the peers again and keeps the state of those that remain.
     *
     * @param peers all other members, or the seeds
     * @param own the failure domain of this node
     */
    void refresh(List<StateMember> peers, DomainId own, Instant now) {
        Map<DomainId, List<StateMember>> rings = rings(peers);
        Map<DomainId, Integer> shares = shares(rings, own);
        int rank = rank(peers);
        Map<VmId, ProbedPeer> selected = new LinkedHashMap<>();
        for (Map.Entry<DomainId, List<StateMember>> domain : rings.entrySet()) {
            List<StateMember> ring = domain.getValue();
            int first = domain.getKey().equals(own) ? rank(ring) : rank * ring.size() / (peers.size() + 1);
            int share = shares.get(domain.getKey());
            for (int step = 0; step < share; step++) {
                StateMember peer = ring.get((first + step) % ring.size());
                selected.put(peer.node().vm(), probedPeer(peer, now));
            }
        }
        probed = selected;
    }

    private Map<DomainId, List<StateMember>> rings(List<StateMember> peers) {
        List<StateMember> ordered = new ArrayList<>(peers);
        ordered.sort(Comparator.comparingLong(
                        (StateMember peer) -> ringPosition(peer.node().vm()))
                .thenComparing(StateMember::node));
        Map<DomainId, List<StateMember>> rings = new TreeMap<>();
        for (StateMember peer : ordered) {
            rings.computeIfAbsent(peer.address().domain(), domain -> new ArrayList<>())
                    .add(peer);
        }
        return rings;
    }

    /** The number of peers to probe in each domain: assigned one by one, the domain of the node last. */
    private static Map<DomainId, Integer> shares(Map<DomainId, List<StateMember>> rings, DomainId own) {
        List<DomainId> order = new ArrayList<>(rings.keySet());
        if (order.remove(own)) {
            order.add(own);
        }
        Map<DomainId, Integer> shares = new TreeMap<>();
        int remaining = Members.MAX_PROBED_PEERS;
        int before = -1;
        while (remaining != before) {
            before = remaining;
            for (DomainId domain : order) {
                int share = shares.getOrDefault(domain, 0);
                boolean assign = remaining > 0 && share < rings.get(domain).size();
                shares.put(domain, assign ? share + 1 : share);
                remaining -= assign ? 1 : 0;
            }
        }
        return shares;
    }

    /** The number of peers that come before this node on the ring. */
    private int rank(List<StateMember> peers) {
        int before = 0;
        for (StateMember peer : peers) {
            if (ringPosition(peer.node().vm()) < ringPosition(self.vm())) {
                before++;
            }
        }
        return before;
    }

    private long ringPosition(VmId vm) {
        return rendezvous.hash(vm.value());
    }

    private ProbedPeer probedPeer(StateMember peer, Instant now) {
        VmId vm = peer.node().vm();
        // A seed is known by its VM only; the roster has no join record of it.
        Optional<NodeId> node = peer.joined() == 0 ? Optional.empty() : Optional.of(peer.node());
        ProbedPeer known = probed.get(vm);
        if (known != null && (known.node().equals(node) || known.identify(node))) {
            return known;
        }
        int removalRank = (int)
                Long.remainderUnsigned(rendezvous.score(vm.value(), self.vm().value()), Members.MAX_PROBED_PEERS);
        return new ProbedPeer(vm, node, removalRank, now);
    }
}
