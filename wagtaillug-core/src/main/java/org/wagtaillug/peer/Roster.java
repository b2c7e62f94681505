package org.wagtaillug.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Rendezvous;

/**
 * The nodes that are registered in the store, whether they are up or not.
 *
 * <p>All nodes read the same records, so anything derived from them needs no coordination between nodes and stays valid
 * while the store is down, during network partitions and after a restart of the whole fleet. Fleet-wide limits are
 * divided by the number of members. A node that is down keeps its share until its registration expires.
 */
public final class Roster {
    /**
     * Fleet-wide limits are divided by at least this number, which reserves room for nodes that have not registered
     * yet.
     */
    private static final int MIN_SHARING_NODES = 12;

    /**
     * In a mixed fleet, a node with less than this fraction of the largest capacity takes a duty only if no larger node
     * can.
     */
    private static final double DUTY_CAPACITY_RATIO = 0.5;

    /** The time until all members know of a new one; until then, some still derive their shares without it. */
    private static final Duration JOIN_PROPAGATION_DELAY = Duration.ofSeconds(3);

    private final VmId self;
    private final Rendezvous rendezvous = new Rendezvous();
    private final Map<VmId, Member> members = new TreeMap<>();
    private final Map<String, List<VmId>> rankings = new HashMap<>();
    private final Map<VmId, Integer> ranks = new HashMap<>();
    private Optional<Instant> joinedAt = Optional.empty();
    private boolean listed;

    /** Creates an empty roster. */
    public Roster(VmId self) {
        this.self = self;
    }

    /**
     * Adds or updates a member.
     *
     * @param listed whether it was already registered when this node first read the feed
     * @return whether anything changed
     */
    public boolean add(Member member, boolean listed, Instant now) {
        if (member.equals(members.put(member.id(), member))) {
            return false;
        }
        if (member.id().equals(self) && joinedAt.isEmpty()) {
            joinedAt = Optional.of(listed ? now : now.plus(JOIN_PROPAGATION_DELAY));
        }
        invalidateDerived();
        return true;
    }

    /** Removes a member; returns whether it was registered. */
    public boolean remove(VmId id) {
        if (members.remove(id) == null) {
            return false;
        }
        if (id.equals(self)) {
            joinedAt = Optional.empty();
        }
        invalidateDerived();
        return true;
    }

    private void invalidateDerived() {
        rankings.clear();
        ranks.clear();
    }

    /** All records of members have been read once; until then nodes may be missing. */
    public void onListed() {
        listed = true;
    }

    /** Whether all records of members have been read once. */
    public boolean listed() {
        return listed;
    }

    /** Finds a member; empty if it is not registered. */
    public Optional<Member> find(VmId id) {
        return Optional.ofNullable(members.get(id));
    }

    /** The number of registered nodes. */
    public int size() {
        return members.size();
    }

    /**
     * The number of nodes among which a fleet-wide limit is divided: all members, or a fixed minimum in a small fleet.
     */
    public int sharingNodes() {
        return Math.max(MIN_SHARING_NODES, members.size());
    }

    /**
     * Whether this node is one of the few that may send requests to an upstream that is cold or limits its rate.
     *
     * <p>Guards against overloading such an upstream by many nodes that each send it only a few requests.
     *
     * @param senders the number of nodes that may
     */
    public boolean selectsSelf(VmId upstream, int senders, Instant now) {
        if (joinedAt.isEmpty() || now.isBefore(joinedAt.get())) {
            return false;
        }
        return members.size() <= senders || rank(upstream) < senders;
    }

    /** The rank of this node for an upstream: the number of members before it. */
    public int rank(VmId upstream) {
        return ranks.computeIfAbsent(upstream, this::rankFor);
    }

    private int rankFor(VmId upstream) {
        long own = rendezvous.score(upstream.value(), self.value());
        int before = 0;
        for (VmId id : members.keySet()) {
            long score = rendezvous.score(upstream.value(), id.value());
            boolean first = score > own || (score == own && id.compareTo(self) < 0);
            before += first ? 1 : 0;
        }
        return before;
    }

    /**
     * The members in the order in which they take a duty: those of sufficient capacity first, each group ordered by
     * rendezvous hashing.
     */
    public List<VmId> ranking(String duty) {
        return rankings.computeIfAbsent(duty, any -> rank(duty, members.values()));
    }

    /** The members of a failure domain in the order in which they take a duty. */
    public List<VmId> ranking(String duty, DomainId domain) {
        return rankings.computeIfAbsent(duty + " in " + domain, any -> {
            List<Member> inDomain = new ArrayList<>();
            for (Member member : members.values()) {
                if (member.domain().equals(domain)) {
                    inDomain.add(member);
                }
            }
            return rank(duty, inDomain);
        });
    }

    private List<VmId> rank(String duty, Collection<Member> candidates) {
        double largest = 0;
        for (Member member : candidates) {
            largest = Math.max(largest, member.capacity());
        }
        double sufficient = largest * DUTY_CAPACITY_RATIO;
        List<Member> ranked = new ArrayList<>(candidates);
        ranked.sort(Comparator.comparing((Member member) -> member.capacity() < sufficient)
                .thenComparing(Comparator.comparingLong((Member member) ->
                                rendezvous.score(duty, member.id().value()))
                        .reversed())
                .thenComparing(Member::id));
        List<VmId> ids = new ArrayList<>();
        ranked.forEach(member -> ids.add(member.id()));
        return ids;
    }
}
