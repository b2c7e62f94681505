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
import org.wagtaillug.message.PeerMessage.GrantDemand;
import org.wagtaillug.message.PeerMessage.GrantOffer;
import org.wagtaillug.message.PeerMessage.GrantReply;
import org.wagtaillug.message.PeerMessage.GrantRequest;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Holds the allowances that upstream owners have granted to this node, and decides whether an attempt may start.
 *
 * <pre>{@code
 * holder.setDemand(pool, queued + running);
 * holder.onTick(now, effects);
 * if (holder.tryStart(upstream, now)) {
 *     // send before holder.sendDeadline(upstream, now), and when the attempt ends:
 *     holder.onFinished(upstream, UpstreamOutcome.SUCCEEDED, now);
 * }
 * }</pre>
 *
 * <p>A node that was paused may still hold an allowance that expired meanwhile and was granted to another node, and no
 * message tells it so on waking. Every start therefore compares the present time with the expiry of the allowance, and
 * the I/O layer compares again before it sends the first byte, see {@code Attempt.sendDeadline}.
 */
public final class GrantHolder {
    /** The maximum number of upstreams of a pool that a node uses; it uses all of a smaller pool. */
    public static final int MAX_FAN_OUT = 16;

    /** The minimum number of upstreams of a pool that a node with any demand uses, so that it has a choice. */
    static final int MIN_FAN_OUT = 4;

    /** How long an owner may leave grant requests unanswered before a warm upstream is used on a fixed share. */
    public static final Duration OWNER_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(500);
    private static final Duration COLD_REQUEST_INTERVAL = Duration.ofMillis(100);
    private static final Duration MIN_REQUEST_INTERVAL = Duration.ofMillis(50);
    private static final Duration FIXED_SHARE_START_WINDOW = Duration.ofMillis(500);
    /** A longer gap between two ticks means that this node was paused. */
    private static final Duration MAX_TICK_GAP = Duration.ofMillis(500);

    private static final Duration FORMER_OWNER_RETENTION = Duration.ofMinutes(10);
    private static final int WARM_HEADROOM = 1;

    private final Rendezvous rendezvous = new Rendezvous();
    private final Ownership ownership;
    private final Configuration configuration;
    private final GrantOwner localOwner;
    private final Map<VmId, UpstreamGrant> grants = new TreeMap<>();
    private final Set<VmId> listed = new HashSet<>();
    private final Map<PoolId, List<VmId>> ranked = new TreeMap<>();
    private final Map<VmId, Integer> demandByUpstream = new HashMap<>();
    private final Map<PoolId, Integer> demandByPool = new HashMap<>();
    private final Set<PoolId> poolsWithHigherDemand = new HashSet<>();
    private final Map<NodeId, OwnerLink> links = new TreeMap<>();
    private Instant lastTick = Instant.MIN;

    /**
     * Creates a holder that knows no upstreams yet.
     *
     * @param localOwner grants the allowances of the upstreams that this node itself owns
     */
    public GrantHolder(Ownership ownership, Configuration configuration, GrantOwner localOwner) {
        this.ownership = ownership;
        this.configuration = configuration;
        this.localOwner = localOwner;
    }

    /** Applies the VM list of the platform. */
    public void onVmList(List<Vm> vms, Instant now) {
        listed.clear();
        Map<PoolId, List<Vm>> pools = new TreeMap<>();
        for (Vm vm : vms) {
            if (!vm.upstream()) {
                continue;
            }
            listed.add(vm.id());
            grants.computeIfAbsent(vm.id(), id -> new UpstreamGrant(vm)).vm(vm);
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

    /** Sets how many requests this node would like to have in flight at the upstreams of a pool, in total. */
    public void setDemand(PoolId pool, int count) {
        int before = demandByPool.getOrDefault(pool, 0);
        demandByPool.put(pool, count);
        if (count > before) {
            poolsWithHigherDemand.add(pool);
        }
    }

    /**
     * Sends grant requests to the owners, to each at most every 50 ms and, for upstreams that are wanted or held, at
     * least every 500 ms.
     */
    public void onTick(Instant now, Effects effects) {
        detectPause(now);
        applyLocalWithdrawals();
        distributeDemand();
        grants.values()
                .removeIf(each -> !listed.contains(each.vm().id()) && each.inUse(now) == 0 && each.allowance(now) == 0);
        Map<NodeId, List<GrantDemand>> demands = new TreeMap<>();
        Set<NodeId> waitingForCold = new HashSet<>();
        for (UpstreamGrant upstream : grants.values()) {
            collectDemands(upstream, demands, waitingForCold, now);
        }
        poolsWithHigherDemand.clear();
        for (Map.Entry<NodeId, OwnerLink> each : links.entrySet()) {
            OwnerLink link = each.getValue();
            List<GrantDemand> ownerDemands = demands.getOrDefault(each.getKey(), List.of());
            if (ownerDemands.isEmpty() && !link.isAcknowledgementDue()) {
                continue;
            }
            if (link.due(requestInterval(link, waitingForCold.contains(each.getKey())), now)) {
                sendRequest(each.getKey(), link, ownerDemands, now, effects);
            }
        }
        removeFormerOwners(now);
    }

    /** Resets the silence of all owners after this node itself was paused: owners could not be heard meanwhile. */
    private void detectPause(Instant now) {
        if (wasPaused(now)) {
            for (OwnerLink link : links.values()) {
                link.resetSilence();
            }
        }
        lastTick = now;
    }

    private boolean wasPaused(Instant now) {
        return !lastTick.equals(Instant.MIN) && now.isAfter(lastTick.plus(MAX_TICK_GAP));
    }

    /** Distributes the demand for each pool over the upstreams that this node uses. */
    private void distributeDemand() {
        demandByUpstream.clear();
        for (Map.Entry<PoolId, List<VmId>> pool : ranked.entrySet()) {
            int count = demandByPool.getOrDefault(pool.getKey(), 0);
            if (count == 0) {
                continue;
            }
            List<VmId> used = new ArrayList<>();
            for (VmId id : pool.getValue()) {
                if (used.size() == fanOut(count)) {
                    break;
                }
                if (isUsable(grants.get(id))) {
                    used.add(id);
                }
            }
            for (VmId id : used) {
                demandByUpstream.put(id, Math.ceilDiv(count, used.size()));
            }
        }
    }

    /** A small demand is spread over few upstreams, since each upstream used costs messages to its owner. */
    private static int fanOut(int count) {
        return Math.min(MAX_FAN_OUT, Math.max(MIN_FAN_OUT, count));
    }

    private void collectDemands(
            UpstreamGrant upstream, Map<NodeId, List<GrantDemand>> demands, Set<NodeId> waitingForCold, Instant now) {
        Optional<NodeId> owner = ownership.ownerOf(upstream.vm());
        for (NodeId former : upstream.accountingOwners(now)) {
            if (!owner.equals(Optional.of(former))) {
                demands.computeIfAbsent(former, id -> new ArrayList<>()).add(upstream.demand(0, now));
            }
        }
        if (owner.isEmpty()) {
            upstream.markUngranted(now, now);
            return;
        }
        int demand = demandAt(upstream, now);
        if (demand == 0 && upstream.inUse(now) == 0 && !upstream.isGrantedBy(owner.get())) {
            return;
        }
        OwnerLink link = links.computeIfAbsent(
                owner.get(), id -> new OwnerLink(ownership.self().messageNumberBase()));
        if (link.silent(OWNER_TIMEOUT, now)) {
            upstream.markUngranted(link.unansweredSince().get(), now);
        }
        demands.computeIfAbsent(owner.get(), id -> new ArrayList<>()).add(upstream.demand(demand, now));
        if (demand <= upstream.allowance(now)) {
            return;
        }
        if (poolsWithHigherDemand.contains(upstream.vm().pool().get())) {
            link.expedite();
        }
        if (upstream.cold()) {
            waitingForCold.add(owner.get());
        }
    }

    private int demandAt(UpstreamGrant upstream, Instant now) {
        int count = demandByUpstream.getOrDefault(upstream.vm().id(), 0);
        if (count == 0) {
            return 0;
        }
        int headroom = upstream.cold() ? 0 : WARM_HEADROOM;
        return Math.max(count + headroom, upstream.inUse(now));
    }

    private static Duration requestInterval(OwnerLink link, boolean waitingForCold) {
        if (link.isExpedited() || link.isAcknowledgementDue()) {
            return MIN_REQUEST_INTERVAL;
        }
        return waitingForCold ? COLD_REQUEST_INTERVAL : REQUEST_INTERVAL;
    }

    private void sendRequest(NodeId owner, OwnerLink link, List<GrantDemand> demands, Instant now, Effects effects) {
        long applied = link.applied();
        GrantRequest request = new GrantRequest(link.onRequestSent(now), applied, demands);
        if (!owner.equals(ownership.self())) {
            effects.add(new Effect.SendToPeer(owner.vm(), request));
            return;
        }
        Optional<GrantReply> reply = localOwner.answer(owner, request, now, effects);
        applyLocalWithdrawals();
        if (reply.isPresent()) {
            onReply(owner, reply.get(), now, effects);
        }
    }

    private void removeFormerOwners(Instant now) {
        Collection<NodeId> members = ownership.members();
        links.entrySet()
                .removeIf(each ->
                        !members.contains(each.getKey()) && each.getValue().due(FORMER_OWNER_RETENTION, now));
    }

    /** Applies the offers of an owner. Outdated, duplicate and unexpected replies are ignored. */
    public void onReply(NodeId owner, GrantReply reply, Instant now, Effects effects) {
        if (reply.sequence() == 0) {
            withdraw(owner, reply);
            return;
        }
        OwnerLink link = links.get(owner);
        if (link == null) {
            return;
        }
        Optional<Instant> sent = link.onReply(reply.sequence());
        if (sent.isEmpty()) {
            return;
        }
        boolean reduced = false;
        Set<VmId> offered = new HashSet<>();
        for (GrantOffer offer : reply.offers()) {
            UpstreamGrant upstream = grants.get(offer.upstream());
            if (upstream == null || !ownership.ownerOf(upstream.vm()).equals(Optional.of(owner))) {
                continue;
            }
            offered.add(offer.upstream());
            reduced |= upstream.apply(offer, owner, sent.get(), now);
        }
        // The next grant request acknowledges this reply, and with it that this node no longer acts on older replies of
        // the owner.
        for (UpstreamGrant upstream : grants.values()) {
            if (!offered.contains(upstream.vm().id())) {
                reduced |= upstream.release(owner);
            }
        }
        if (reduced) {
            link.acknowledgementDue();
        }
    }

    private void withdraw(NodeId owner, GrantReply reply) {
        OwnerLink link = links.get(owner);
        for (GrantOffer offer : reply.offers()) {
            UpstreamGrant upstream = grants.get(offer.upstream());
            if (upstream == null || !upstream.isGrantedBy(owner)) {
                continue;
            }
            upstream.withdraw(offer);
            if (link != null) {
                link.acknowledgementDue();
            }
        }
    }

    private void applyLocalWithdrawals() {
        for (GrantReply reply : localOwner.takeLocalWithdrawals()) {
            withdraw(ownership.self(), reply);
        }
    }

    /** The number of further attempts that may start at an upstream now. */
    public int available(VmId upstream, Instant now) {
        applyLocalWithdrawals();
        UpstreamGrant grant = grants.get(upstream);
        if (grant == null || !isUsable(grant)) {
            return 0;
        }
        return Math.max(0, currentAllowance(grant, now) - grant.inUse(now));
    }

    private int currentAllowance(UpstreamGrant upstream, Instant now) {
        int allowance = upstream.allowance(now);
        return allowance > 0 ? allowance : fixedShare(upstream, now);
    }

    /**
     * This node's fixed share of a warm upstream for which no owner grants allowances. Without it, requests would wait
     * for a new owner while the upstream has capacity, because the current owner is dead or unreachable. A cold
     * upstream has no fixed share.
     */
    private int fixedShare(UpstreamGrant upstream, Instant now) {
        if (wasPaused(now) || !upstream.mayUseFixedShare(now)) {
            return 0;
        }
        int members = Math.max(1, ownership.members().size());
        int warmLimit = configuration.pool(upstream.vm().pool().get()).warmLimit();
        return Math.max(1, warmLimit / members);
    }

    /** Takes one start if one is available; gives whether it was. Each has to be reported as finished once. */
    public boolean tryStart(VmId upstream, Instant now) {
        if (available(upstream, now) == 0) {
            return false;
        }
        grants.get(upstream).started();
        return true;
    }

    /** The time before which an attempt that is started now must have been sent; from then on it may not be sent. */
    public Instant sendDeadline(VmId upstream, Instant now) {
        UpstreamGrant grant = grants.get(upstream);
        if (grant == null) {
            return now;
        }
        if (grant.allowance(now) > 0) {
            return grant.expires();
        }
        return fixedShare(grant, now) > 0 ? now.plus(FIXED_SHARE_START_WINDOW) : now;
    }

    /** Records the end of an attempt that was started at an upstream. */
    public void onFinished(VmId upstream, UpstreamOutcome outcome, Instant now) {
        UpstreamGrant grant = grants.get(upstream);
        if (grant != null) {
            grant.onFinished(outcome, now);
        }
    }

    /** The latest load report that the owner has passed on. */
    public Optional<LoadReport> report(VmId upstream) {
        return Optional.ofNullable(grants.get(upstream)).flatMap(UpstreamGrant::report);
    }

    /** Whether an upstream is cold as far as this node knows; true for an unknown upstream. */
    public boolean isCold(VmId upstream) {
        UpstreamGrant grant = grants.get(upstream);
        return grant == null || grant.cold();
    }

    /** The state of the grants of all upstreams, ordered by upstream id. */
    public List<GrantView> view(Instant now) {
        List<GrantView> views = new ArrayList<>();
        for (VmId id : grants.keySet()) {
            views.add(view(id, now).get());
        }
        return views;
    }

    /** The state of the grants of one upstream; empty if the upstream is not known. */
    public Optional<GrantView> view(VmId upstream, Instant now) {
        UpstreamGrant grant = grants.get(upstream);
        if (grant == null) {
            return Optional.empty();
        }
        int allowance = isUsable(grant) ? currentAllowance(grant, now) : 0;
        boolean fixedShare = allowance > 0 && grant.allowance(now) == 0;
        Optional<NodeId> owner = ownership.ownerOf(grant.vm());
        GrantView holderView =
                new GrantView(upstream, owner, grant.cold(), 0, Map.of(), allowance, fixedShare, grant.inUse(now));
        return Optional.of(localOwner.withOwnerState(holderView, now));
    }

    private boolean isUsable(UpstreamGrant upstream) {
        boolean leaving =
                upstream.vm().leaving() || !listed.contains(upstream.vm().id());
        return !leaving && configuration.inService(upstream.vm());
    }
}
