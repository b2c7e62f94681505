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
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Ownership;
import org.wagtaillug.membership.Timing;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage.GrantDemand;
import org.wagtaillug.message.PeerMessage.GrantOffer;
import org.wagtaillug.message.PeerMessage.GrantReply;
import org.wagtaillug.message.PeerMessage.GrantRequest;
import org.wagtaillug.node.Decision;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Grants allowances for the upstreams that this node owns.
 *
 * <pre>{@code
 * GrantOwner owner = new GrantOwner(ownership, configuration);
 * owner.onVmList(vms, now);
 * owner.onTick(now, effects); // requests load reports
 * owner.onGrantRequest(holder, request, now, effects); // sends a reply
 * }</pre>
 *
 * <p>Guards against overloading an upstream that has just started: nodes that do not know of one another each send it a
 * request, and it refuses requests or crashes and restarts in a loop. Each upstream has one owner at a time, and the
 * owner never lets the sum of what its holders may have in flight rise above the limit. See {@link HolderAccount} for
 * lost, late and duplicated messages, and {@link UpstreamAccount#beginGranting} for a change of owner.
 */
public final class GrantOwner {
    /**
     * The maximum time that an attempt may run at an upstream after its start. What a silent holder may have in flight
     * is counted for this long after its last allowance has expired.
     */
    public static final Duration MAX_ATTEMPT_DURATION = Duration.ofSeconds(10);

    /** How long a turn at a cold upstream lasts. */
    static final Duration COLD_TURN = Duration.ofMillis(500);

    /** How long the demand of a holder stays valid after its last grant request. */
    static final Duration DEMAND_LIFETIME = Duration.ofMillis(1500);

    /** How often the load of an owned upstream is requested. */
    static final Duration LOAD_INTERVAL = Duration.ofMillis(250);

    private static final Duration REQUEST_RETENTION = Duration.ofMinutes(1);

    private final Ownership ownership;
    private final Configuration configuration;
    private final Map<VmId, Vm> listed = new TreeMap<>();
    private final Map<VmId, UpstreamAccount> accounts = new TreeMap<>();
    private final Map<NodeId, LastRequest> lastRequests = new HashMap<>();
    private final List<GrantReply> localWithdrawals = new ArrayList<>();

    private record LastRequest(long sequence, Instant at) {}

    /** Creates an owner that knows no upstreams yet. */
    public GrantOwner(Ownership ownership, Configuration configuration) {
        this.ownership = ownership;
        this.configuration = configuration;
    }

    /** Applies the VM list of the platform; changes take effect at the next tick. */
    public void onVmList(List<Vm> vms, Instant now) {
        listed.clear();
        for (Vm vm : vms) {
            if (vm.upstream()) {
                listed.put(vm.id(), vm);
            }
        }
    }

    /**
     * Requests load reports of owned upstreams, withdraws allowances at those that are leaving or out of service, and
     * drops expired allowances.
     */
    public void onTick(Instant now, Effects effects) {
        Collection<NodeId> members = ownership.members();
        for (Vm vm : listed.values()) {
            if (!owns(vm)) {
                accounts.remove(vm.id());
                continue;
            }
            UpstreamAccount account = accounts.computeIfAbsent(
                    vm.id(), id -> new UpstreamAccount(vm.pool().get()));
            checkMayGrant(vm, account, now);
            account.expire(members, now);
            if (!isUsable(vm)) {
                account.markCold();
                withdraw(vm.id(), account, "leaving or out of service", now, effects);
            }
            if (account.loadRequestDue(now)) {
                effects.add(new Effect.RequestLoad(vm.id()));
            }
        }
        removeUnlisted(now, effects);
        lastRequests
                .entrySet()
                .removeIf(each -> !members.contains(each.getKey())
                        && now.isAfter(each.getValue().at().plus(REQUEST_RETENTION)));
    }

    private void removeUnlisted(Instant now, Effects effects) {
        Set<VmId> unlisted = new HashSet<>(accounts.keySet());
        unlisted.removeAll(listed.keySet());
        for (VmId id : unlisted) {
            withdraw(id, accounts.get(id), "no longer listed", now, effects);
            accounts.remove(id);
        }
    }

    /** Applies the load report of an owned upstream. */
    public void onLoadReport(VmId upstream, LoadReport report, Instant now, Effects effects) {
        UpstreamAccount account = accounts.get(upstream);
        Vm vm = listed.get(upstream);
        if (account == null || vm == null) {
            return;
        }
        checkMayGrant(vm, account, now);
        if (account.onReport(report, contract(account), now)) {
            withdraw(upstream, account, "restarted", now, effects);
        }
    }

    /** Records that an owned upstream did not answer a load request. */
    public void onLoadRequestFailed(VmId upstream, Instant now, Effects effects) {
        UpstreamAccount account = accounts.get(upstream);
        if (account == null) {
            return;
        }
        if (account.onMissing(contract(account), now)) {
            withdraw(upstream, account, "load reports missing", now, effects);
        }
    }

    /** Answers the grant request of another node. Late and duplicate requests are not answered. */
    public void onGrantRequest(NodeId holder, GrantRequest request, Instant now, Effects effects) {
        Optional<GrantReply> reply = answer(holder, request, now, effects);
        if (reply.isPresent()) {
            effects.add(new Effect.SendToPeer(holder.vm(), reply.get()));
        }
    }

    /**
     * Answers a grant request, also of the local holder; empty if a later request of the holder was answered before.
     */
    Optional<GrantReply> answer(NodeId holder, GrantRequest request, Instant now, Effects effects) {
        LastRequest last = lastRequests.get(holder);
        if (last != null && request.sequence() <= last.sequence()) {
            return Optional.empty();
        }
        lastRequests.put(holder, new LastRequest(request.sequence(), now));
        applyRequest(holder, request, now, effects);
        List<GrantOffer> offers = new ArrayList<>();
        boolean member = ownership.members().contains(holder);
        for (GrantDemand demand : request.demands()) {
            Vm vm = listed.get(demand.upstream());
            if (vm == null || !owns(vm)) {
                continue;
            }
            offers.add(offer(vm, demand, holder, member, request.sequence(), now));
        }
        return Optional.of(new GrantReply(request.sequence(), offers));
    }

    /**
     * Passes a grant request to every account: a request that does not name an upstream acknowledges that the holder
     * holds nothing there.
     */
    private void applyRequest(NodeId holder, GrantRequest request, Instant now, Effects effects) {
        Map<VmId, GrantDemand> demands = new HashMap<>();
        for (GrantDemand demand : request.demands()) {
            demands.put(demand.upstream(), demand);
            Vm vm = listed.get(demand.upstream());
            if (vm != null && owns(vm)) {
                accounts.computeIfAbsent(
                        vm.id(), id -> new UpstreamAccount(vm.pool().get()));
            }
        }
        for (Map.Entry<VmId, UpstreamAccount> each : accounts.entrySet()) {
            VmId upstream = each.getKey();
            UpstreamAccount account = each.getValue();
            Optional<GrantDemand> demand = Optional.ofNullable(demands.get(upstream));
            if (account.onGrantRequest(holder, request.applied(), demand, contract(account), now)) {
                withdraw(upstream, account, "attempt failed at " + holder, now, effects);
            }
        }
    }

    private GrantOffer offer(Vm vm, GrantDemand demand, NodeId holder, boolean member, long sequence, Instant now) {
        UpstreamAccount account = accounts.get(vm.id());
        PoolContract contract = contract(account);
        if (!isUsable(vm)) {
            return account.emptyOffer(demand, Timing.MAX_GRANT_LIFETIME, contract, now);
        }
        if (!checkMayGrant(vm, account, now)) {
            return account.emptyOffer(demand, Duration.ZERO, contract, now);
        }
        if (!member) {
            return account.emptyOffer(demand, Timing.MAX_GRANT_LIFETIME, contract, now);
        }
        return account.offer(demand, holder, sequence, contract, now);
    }

    /** Whether this node may grant now; tells the account if so. */
    private boolean checkMayGrant(Vm vm, UpstreamAccount account, Instant now) {
        if (!ownership.mayGrant(vm, now)) {
            return false;
        }
        account.beginGranting(ownership.fencingNumber(vm), now);
        return true;
    }

    /** Tells all holders that may still start something at the upstream to stop. */
    private void withdraw(VmId upstream, UpstreamAccount account, String reason, Instant now, Effects effects) {
        List<NodeId> holders = account.withdraw(now);
        if (holders.isEmpty()) {
            return;
        }
        GrantOffer nothing = new GrantOffer(
                upstream, 0, Timing.MAX_GRANT_LIFETIME, account.cold(contract(account), now), account.report());
        GrantReply reply = new GrantReply(0, List.of(nothing));
        Decision.Builder decision =
                Decision.builder("withdraw").field("upstream", upstream).field("reason", reason);
        for (NodeId holder : holders) {
            decision.field("from " + holder, account.reserves(now).get(holder));
            if (holder.equals(ownership.self())) {
                localWithdrawals.add(reply);
                continue;
            }
            effects.add(new Effect.SendToPeer(holder.vm(), reply));
        }
        effects.add(new Effect.LogDecision(decision.build()));
    }

    /** Returns and clears the withdrawals for the local holder. */
    List<GrantReply> takeLocalWithdrawals() {
        if (localWithdrawals.isEmpty()) {
            return List.of();
        }
        List<GrantReply> taken = List.copyOf(localWithdrawals);
        localWithdrawals.clear();
        return taken;
    }

    /** Adds to the view of a holder what only the owner of the upstream knows. */
    GrantView withOwnerState(GrantView holderView, Instant now) {
        UpstreamAccount account = accounts.get(holderView.upstream());
        if (account == null) {
            return holderView;
        }
        PoolContract contract = contract(account);
        return new GrantView(
                holderView.upstream(),
                holderView.owner(),
                account.cold(contract, now),
                account.limit(contract, now),
                account.reserves(now),
                holderView.allowance(),
                holderView.fixedShare(),
                holderView.inUse());
    }

    private boolean owns(Vm vm) {
        return ownership.ownerOf(vm).equals(Optional.of(ownership.self()));
    }

    private boolean isUsable(Vm vm) {
        return !vm.leaving() && configuration.inService(vm);
    }

    private PoolContract contract(UpstreamAccount account) {
        return configuration.pool(account.pool());
    }
}
