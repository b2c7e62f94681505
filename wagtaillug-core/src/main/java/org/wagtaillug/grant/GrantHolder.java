package org.wagtaillug.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wagtaillug.configuration.Configuration;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Ownership;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage.GrantAsk;
import org.wagtaillug.message.PeerMessage.GrantDemand;
import org.wagtaillug.message.PeerMessage.GrantOffer;
import org.wagtaillug.message.PeerMessage.GrantReply;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Holds the allowances of this node and says what it may start.
 *
 * <pre>{@code
 * holder.want(pool, queued + running);
 * holder.onTick(now, effects);
 * if (holder.start(upstream, now)) {
 *     // send before holder.startBefore(upstream, now), and in the end:
 *     holder.finished(upstream, Finish.SUCCEEDED, now);
 * }
 * }</pre>
 *
 * <p>A node that pauses keeps believing in an allowance that has lapsed and was given to another. Nothing tells it so when
 * it wakes; so every start compares the present time with the allowance's end, and the frame compares once more before
 * the first byte, see {@code Attempt.startBefore}.
 */
public final class GrantHolder {
    /** How many upstreams of a pool a node uses at most; with fewer in the pool it uses all. */
    public static final int POOL_FAN_OUT = 16;

    /** The fewest upstreams of a pool that a node with any demand uses, so that it has a choice. */
    static final int SMALLEST_FAN_OUT = 4;

    /** How long an owner may leave asks unanswered before a warm upstream is used on a fixed share. */
    public static final Duration OWNER_SILENCE = Duration.ofMillis(1500);

    private static final Duration ASK_PERIOD = Duration.ofMillis(500);
    private static final Duration COLD_ASK_PERIOD = Duration.ofMillis(100);
    private static final Duration SHORTEST_ASK_PERIOD = Duration.ofMillis(50);
    private static final Duration FIXED_SHARE_START = Duration.ofMillis(500);
    private static final Duration LONGEST_TICK = Duration.ofMillis(500);
    private static final Duration FORMER_OWNER_REMEMBERED = Duration.ofMinutes(10);
    private static final int WARM_HEADROOM = 1;

    private final Rendezvous rendezvous = new Rendezvous();
    private final Ownership ownership;
    private final Configuration configuration;
    private final GrantOwner localOwner;
    private final Map<VmId, HeldUpstream> held = new TreeMap<>();
    private final Set<VmId> listed = new HashSet<>();
    private final Map<PoolId, List<VmId>> ranked = new TreeMap<>();
    private final Map<VmId, Integer> share = new HashMap<>();
    private final Map<PoolId, Integer> wanted = new HashMap<>();
    private final Set<PoolId> newlyWanted = new HashSet<>();
    private final Map<NodeId, OwnerLink> links = new TreeMap<>();
    private Instant lastTick = Instant.MIN;

    /**
     * Starts a holder that knows no upstream yet.
     *
     * @param localOwner gives out the allowances of the upstreams that this node itself owns
     */
    public GrantHolder(Ownership ownership, Configuration configuration, GrantOwner localOwner) {
        this.ownership = ownership;
        this.configuration = configuration;
        this.localOwner = localOwner;
    }

    /** Takes in the platform's list. */
    public void onVmList(List<Vm> vms, Instant now) {
        listed.clear();
        Map<PoolId, List<Vm>> pools = new TreeMap<>();
        for (Vm vm : vms) {
            if (!vm.upstream()) {
                continue;
            }
            listed.add(vm.id());
            held.computeIfAbsent(vm.id(), id -> new HeldUpstream(vm)).vm(vm);
            pools.computeIfAbsent(vm.pool().get(), id -> new ArrayList<>()).add(vm);
        }
        ranked.clear();
        for (Map.Entry<PoolId, List<Vm>> pool : pools.entrySet()) {
            List<VmId> order = new ArrayList<>();
            for (Vm vm : rendezvous.rank(ownership.self().vm().value(), pool.getValue())) {
                order.add(vm.id());
            }
            ranked.put(pool.getKey(), order);
        }
    }

    /** Says how many requests this node would have in flight at a pool's upstreams, all together. */
    public void want(PoolId pool, int count) {
        int before = wanted.getOrDefault(pool, 0);
        wanted.put(pool, count);
        if (count > before) {
            newlyWanted.add(pool);
        }
    }

    /** Asks the owners, each at most every 50 ms and, of what is wanted or held, at least every 500 ms. */
    public void onTick(Instant now, Effects effects) {
        noticePause(now);
        takeUnasked();
        shareOut();
        held.values()
                .removeIf(each -> !listed.contains(each.vm().id()) && each.inUse(now) == 0 && each.allowance(now) == 0);
        Map<NodeId, List<GrantDemand>> demands = new TreeMap<>();
        Set<NodeId> waitingForCold = new HashSet<>();
        for (HeldUpstream upstream : held.values()) {
            collect(upstream, demands, waitingForCold, now);
        }
        newlyWanted.clear();
        for (Map.Entry<NodeId, OwnerLink> each : links.entrySet()) {
            OwnerLink link = each.getValue();
            List<GrantDemand> asked = demands.getOrDefault(each.getKey(), List.of());
            if (asked.isEmpty() && !link.isAcknowledgementDue()) {
                continue;
            }
            if (link.due(period(link, waitingForCold.contains(each.getKey())), now)) {
                ask(each.getKey(), link, asked, now, effects);
            }
        }
        forgetFormerOwners(now);
    }

    /** A pause of this node itself is no silence of the owners. */
    private void noticePause(Instant now) {
        if (paused(now)) {
            for (OwnerLink link : links.values()) {
                link.forgetSilence();
            }
        }
        lastTick = now;
    }

    private boolean paused(Instant now) {
        return !lastTick.equals(Instant.MIN) && now.isAfter(lastTick.plus(LONGEST_TICK));
    }

    /** Spreads the demand for each pool over the upstreams that this node uses. */
    private void shareOut() {
        share.clear();
        for (Map.Entry<PoolId, List<VmId>> pool : ranked.entrySet()) {
            int count = wanted.getOrDefault(pool.getKey(), 0);
            if (count == 0) {
                continue;
            }
            List<VmId> used = new ArrayList<>();
            for (VmId id : pool.getValue()) {
                if (used.size() == fanOut(count)) {
                    break;
                }
                if (open(held.get(id))) {
                    used.add(id);
                }
            }
            for (VmId id : used) {
                share.put(id, Math.ceilDiv(count, used.size()));
            }
        }
    }

    /** Few attempts are spread over few upstreams: each upstream used costs messages to its owner. */
    private static int fanOut(int count) {
        return Math.min(POOL_FAN_OUT, Math.max(SMALLEST_FAN_OUT, count));
    }

    private void collect(
            HeldUpstream upstream, Map<NodeId, List<GrantDemand>> demands, Set<NodeId> waitingForCold, Instant now) {
        Optional<NodeId> owner = ownership.ownerOf(upstream.vm());
        for (NodeId former : upstream.countedBy(now)) {
            if (!owner.equals(Optional.of(former))) {
                demands.computeIfAbsent(former, id -> new ArrayList<>()).add(upstream.demand(0, now));
            }
        }
        if (owner.isEmpty()) {
            upstream.unserved(now, now);
            return;
        }
        int wantedHere = wantedAt(upstream, now);
        if (wantedHere == 0 && upstream.inUse(now) == 0 && !upstream.holds(owner.get())) {
            return;
        }
        OwnerLink link = links.computeIfAbsent(owner.get(), id -> new OwnerLink());
        if (link.silent(OWNER_SILENCE, now)) {
            upstream.unserved(link.silentSince().get(), now);
        }
        demands.computeIfAbsent(owner.get(), id -> new ArrayList<>()).add(upstream.demand(wantedHere, now));
        if (wantedHere <= upstream.allowance(now)) {
            return;
        }
        if (newlyWanted.contains(upstream.vm().pool().get())) {
            link.hurry();
        }
        if (upstream.cold()) {
            waitingForCold.add(owner.get());
        }
    }

    private int wantedAt(HeldUpstream upstream, Instant now) {
        int count = share.getOrDefault(upstream.vm().id(), 0);
        if (count == 0) {
            return 0;
        }
        int headroom = upstream.cold() ? 0 : WARM_HEADROOM;
        return Math.max(count + headroom, upstream.inUse(now));
    }

    private static Duration period(OwnerLink link, boolean waitingForCold) {
        if (link.isHurried() || link.isAcknowledgementDue()) {
            return SHORTEST_ASK_PERIOD;
        }
        return waitingForCold ? COLD_ASK_PERIOD : ASK_PERIOD;
    }

    private void ask(NodeId owner, OwnerLink link, List<GrantDemand> demands, Instant now, Effects effects) {
        long applied = link.applied();
        GrantAsk ask = new GrantAsk(link.ask(now), applied, demands);
        if (!owner.equals(ownership.self())) {
            effects.add(new Effect.SendToPeer(owner.vm(), ask));
            return;
        }
        Optional<GrantReply> reply = localOwner.answer(owner, ask, now, effects);
        takeUnasked();
        if (reply.isPresent()) {
            onReply(owner, reply.get(), now, effects);
        }
    }

    private void forgetFormerOwners(Instant now) {
        Collection<NodeId> members = ownership.members();
        links.entrySet()
                .removeIf(each ->
                        !members.contains(each.getKey()) && each.getValue().due(FORMER_OWNER_REMEMBERED, now));
    }

    /** Takes in what an owner offers; old, doubled and foreign replies change nothing. */
    public void onReply(NodeId owner, GrantReply reply, Instant now, Effects effects) {
        if (reply.sequence() == 0) {
            withdraw(owner, reply);
            return;
        }
        OwnerLink link = links.get(owner);
        if (link == null) {
            return;
        }
        Optional<Instant> sent = link.reply(reply.sequence());
        if (sent.isEmpty()) {
            return;
        }
        boolean less = false;
        Set<VmId> offered = new HashSet<>();
        for (GrantOffer offer : reply.offers()) {
            HeldUpstream upstream = held.get(offer.upstream());
            if (upstream == null || !ownership.ownerOf(upstream.vm()).equals(Optional.of(owner))) {
                continue;
            }
            offered.add(offer.upstream());
            less |= upstream.apply(offer, owner, sent.get(), now);
        }
        // From here on the next ask acknowledges this reply, which says that nothing older of this owner is acted on.
        for (HeldUpstream upstream : held.values()) {
            if (!offered.contains(upstream.vm().id())) {
                less |= upstream.drop(owner);
            }
        }
        if (less) {
            link.acknowledgementDue();
        }
    }

    private void withdraw(NodeId owner, GrantReply reply) {
        OwnerLink link = links.get(owner);
        for (GrantOffer offer : reply.offers()) {
            HeldUpstream upstream = held.get(offer.upstream());
            if (upstream == null || !upstream.holds(owner)) {
                continue;
            }
            upstream.withdraw(offer);
            if (link != null) {
                link.acknowledgementDue();
            }
        }
    }

    private void takeUnasked() {
        for (GrantReply reply : localOwner.takeUnaskedForSelf()) {
            withdraw(ownership.self(), reply);
        }
    }

    /** How many more attempts may start at an upstream now. */
    public int available(VmId upstream, Instant now) {
        takeUnasked();
        HeldUpstream which = held.get(upstream);
        if (which == null || !open(which)) {
            return 0;
        }
        return Math.max(0, most(which, now) - which.inUse(now));
    }

    private int most(HeldUpstream upstream, Instant now) {
        int allowance = upstream.allowance(now);
        return allowance > 0 ? allowance : fixedShare(upstream, now);
    }

    /**
     * This node's part of a warm upstream that nobody grants. The failure: its owner is dead, or cannot be heard, and
     * requests would wait for a new one at an upstream that has room. A cold upstream gets nothing this way.
     */
    private int fixedShare(HeldUpstream upstream, Instant now) {
        if (paused(now) || !upstream.fallsBack(now)) {
            return 0;
        }
        int members = Math.max(1, ownership.members().size());
        int warmLimit = configuration.pool(upstream.vm().pool().get()).warmLimit();
        return Math.max(1, warmLimit / members);
    }

    /** Takes one start if one is available; gives whether it was. Each has to be reported as finished once. */
    public boolean start(VmId upstream, Instant now) {
        if (available(upstream, now) == 0) {
            return false;
        }
        held.get(upstream).started();
        return true;
    }

    /** The time from which a start taken now may not be carried out any more. */
    public Instant startBefore(VmId upstream, Instant now) {
        HeldUpstream which = held.get(upstream);
        if (which == null) {
            return now;
        }
        if (which.allowance(now) > 0) {
            return which.expires();
        }
        return fixedShare(which, now) > 0 ? now.plus(FIXED_SHARE_START) : now;
    }

    /** Takes in the end of an attempt that was started at an upstream. */
    public void finished(VmId upstream, Finish finish, Instant now) {
        HeldUpstream which = held.get(upstream);
        if (which != null) {
            which.finished(finish, now);
        }
    }

    /** The newest load report that the owner has passed on. */
    public Optional<LoadReport> report(VmId upstream) {
        return Optional.ofNullable(held.get(upstream)).flatMap(HeldUpstream::report);
    }

    /** Whether an upstream is cold as far as this node knows; true for one that it knows nothing of. */
    public boolean cold(VmId upstream) {
        HeldUpstream which = held.get(upstream);
        return which == null || which.cold();
    }

    /** How the grants of all upstreams stand, in the order of their names. */
    public List<GrantView> view(Instant now) {
        List<GrantView> views = new ArrayList<>();
        for (VmId id : held.keySet()) {
            views.add(view(id, now).get());
        }
        return views;
    }

    /** How the grants of one upstream stand; empty if it is not listed. */
    public Optional<GrantView> view(VmId upstream, Instant now) {
        HeldUpstream which = held.get(upstream);
        if (which == null) {
            return Optional.empty();
        }
        int allowance = open(which) ? most(which, now) : 0;
        boolean fixedShare = allowance > 0 && which.allowance(now) == 0;
        Optional<NodeId> owner = ownership.ownerOf(which.vm());
        GrantView seen =
                new GrantView(upstream, owner, which.cold(), 0, Map.of(), allowance, fixedShare, which.inUse(now));
        return Optional.of(localOwner.complete(seen, now));
    }

    private boolean open(HeldUpstream upstream) {
        boolean leaving =
                upstream.vm().leaving() || !listed.contains(upstream.vm().id());
        return !leaving && configuration.inService(upstream.vm());
    }
}
