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
import org.wagtaillug.message.PeerMessage.GrantAsk;
import org.wagtaillug.message.PeerMessage.GrantDemand;
import org.wagtaillug.message.PeerMessage.GrantOffer;
import org.wagtaillug.message.PeerMessage.GrantReply;
import org.wagtaillug.node.Decision;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Gives out the allowances of the upstreams that this node owns.
 *
 * <pre>{@code
 * GrantOwner owner = new GrantOwner(ownership, configuration);
 * owner.onVmList(vms, now);
 * owner.onTick(now, effects); // asks for load reports
 * owner.onAsk(holder, ask, now, effects); // sends a reply
 * }</pre>
 *
 * <p>The failure it guards against: an upstream that has just started falls over when nodes that do not know of one
 * another each send it a request. It shows as refusals and restarts in a loop. The guard holds because each upstream has
 * one owner at a time, and the owner never lets the sum of what its holders may have in flight rise above the limit:
 * see {@link HolderAccount} for lost, late and doubled messages, {@link UpstreamAccount#mayGrant} for a change of owner.
 */
public final class GrantOwner {
    /**
     * The longest that an attempt may run at an upstream after its start. What a silent holder may have in flight is
     * counted for this long after its last allowance has lapsed.
     */
    public static final Duration LONGEST_ATTEMPT = Duration.ofSeconds(10);

    /** How long a turn at a cold upstream lasts. */
    static final Duration COLD_GRANT = Duration.ofMillis(500);

    /** How long a holder counts as wanting something after its last ask. */
    static final Duration ACTIVE = Duration.ofMillis(1500);

    /** How often an owned upstream is asked for its load. */
    static final Duration LOAD_PERIOD = Duration.ofMillis(250);

    private static final Duration ASKS_REMEMBERED = Duration.ofMinutes(1);

    private final Ownership ownership;
    private final Configuration configuration;
    private final Map<VmId, Vm> listed = new TreeMap<>();
    private final Map<VmId, UpstreamAccount> accounts = new TreeMap<>();
    private final Map<NodeId, LastAsk> lastAsks = new HashMap<>();
    private final List<GrantReply> unaskedForSelf = new ArrayList<>();

    private record LastAsk(long sequence, Instant at) {}

    /** Starts an owner that knows no upstream yet. */
    public GrantOwner(Ownership ownership, Configuration configuration) {
        this.ownership = ownership;
        this.configuration = configuration;
    }

    /** Takes in the platform's list; what has changed is acted on at the next tick. */
    public void onVmList(List<Vm> vms, Instant now) {
        listed.clear();
        for (Vm vm : vms) {
            if (vm.upstream()) {
                listed.put(vm.id(), vm);
            }
        }
    }

    /** Asks owned upstreams for their load, withdraws from those that are leaving or taken out, and lets rights expire. */
    public void onTick(Instant now, Effects effects) {
        Collection<NodeId> members = ownership.members();
        for (Vm vm : listed.values()) {
            if (!owns(vm)) {
                accounts.remove(vm.id());
                continue;
            }
            UpstreamAccount account = accounts.computeIfAbsent(
                    vm.id(), id -> new UpstreamAccount(vm.pool().get()));
            noteRight(vm, account, now);
            account.expire(members, now);
            if (!open(vm)) {
                account.turnCold();
                withdraw(vm.id(), account, "leaving or out of service", now, effects);
            }
            if (account.askLoad(now)) {
                effects.add(new Effect.RequestLoad(vm.id()));
            }
        }
        forgetGone(now, effects);
        lastAsks.entrySet()
                .removeIf(each -> !members.contains(each.getKey())
                        && now.isAfter(each.getValue().at().plus(ASKS_REMEMBERED)));
    }

    private void forgetGone(Instant now, Effects effects) {
        Set<VmId> gone = new HashSet<>(accounts.keySet());
        gone.removeAll(listed.keySet());
        for (VmId id : gone) {
            withdraw(id, accounts.get(id), "gone from the list", now, effects);
            accounts.remove(id);
        }
    }

    /** Takes in what an owned upstream says of itself. */
    public void onLoadReport(VmId upstream, LoadReport report, Instant now, Effects effects) {
        UpstreamAccount account = accounts.get(upstream);
        Vm vm = listed.get(upstream);
        if (account == null || vm == null) {
            return;
        }
        noteRight(vm, account, now);
        if (account.onReport(report, contract(account), now)) {
            withdraw(upstream, account, "restarted", now, effects);
        }
    }

    /** Takes in that an owned upstream did not answer for its load. */
    public void onLoadMissing(VmId upstream, Instant now, Effects effects) {
        UpstreamAccount account = accounts.get(upstream);
        if (account == null) {
            return;
        }
        if (account.onMissing(contract(account), now)) {
            withdraw(upstream, account, "load reports missing", now, effects);
        }
    }

    /** Answers another node's ask. An ask that comes late or twice is not answered. */
    public void onAsk(NodeId holder, GrantAsk ask, Instant now, Effects effects) {
        Optional<GrantReply> reply = answer(holder, ask, now, effects);
        if (reply.isPresent()) {
            effects.add(new Effect.SendToPeer(holder.vm(), reply.get()));
        }
    }

    /** Answers an ask, of this node's own holder too; empty if a later ask of the holder was answered before. */
    Optional<GrantReply> answer(NodeId holder, GrantAsk ask, Instant now, Effects effects) {
        LastAsk last = lastAsks.get(holder);
        if (last != null && ask.sequence() <= last.sequence()) {
            return Optional.empty();
        }
        lastAsks.put(holder, new LastAsk(ask.sequence(), now));
        takeIn(holder, ask, now, effects);
        List<GrantOffer> offers = new ArrayList<>();
        boolean member = ownership.members().contains(holder);
        for (GrantDemand demand : ask.demands()) {
            Vm vm = listed.get(demand.upstream());
            if (vm == null || !owns(vm)) {
                continue;
            }
            offers.add(offer(vm, demand, holder, member, ask.sequence(), now));
        }
        return Optional.of(new GrantReply(ask.sequence(), offers));
    }

    /** Every account hears of every ask: one that does not name an upstream acknowledges that nothing is held there. */
    private void takeIn(NodeId holder, GrantAsk ask, Instant now, Effects effects) {
        Map<VmId, GrantDemand> demands = new HashMap<>();
        for (GrantDemand demand : ask.demands()) {
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
            if (account.onAsk(holder, ask.applied(), demand, contract(account), now)) {
                withdraw(upstream, account, "failed for " + holder, now, effects);
            }
        }
    }

    private GrantOffer offer(Vm vm, GrantDemand demand, NodeId holder, boolean member, long sequence, Instant now) {
        UpstreamAccount account = accounts.get(vm.id());
        PoolContract contract = contract(account);
        if (!open(vm)) {
            return account.nothing(demand, Timing.LONGEST_GRANT, contract, now);
        }
        if (!noteRight(vm, account, now)) {
            return account.nothing(demand, Duration.ZERO, contract, now);
        }
        if (!member) {
            return account.nothing(demand, Timing.LONGEST_GRANT, contract, now);
        }
        return account.offer(demand, holder, sequence, contract, now);
    }

    /** Whether this node may grant now; notes the beginning of a right to. */
    private boolean noteRight(Vm vm, UpstreamAccount account, Instant now) {
        if (!ownership.mayGrant(vm, now)) {
            return false;
        }
        account.mayGrant(ownership.fencingNumber(vm), now);
        return true;
    }

    /** Tells all who may still start something there that they may not. */
    private void withdraw(VmId upstream, UpstreamAccount account, String reason, Instant now, Effects effects) {
        List<NodeId> holders = account.withdraw(now);
        if (holders.isEmpty()) {
            return;
        }
        GrantOffer nothing = new GrantOffer(
                upstream, 0, Timing.LONGEST_GRANT, account.cold(contract(account), now), account.report());
        GrantReply reply = new GrantReply(0, List.of(nothing));
        Decision.Builder decision =
                Decision.builder("withdraw").field("upstream", upstream).field("reason", reason);
        for (NodeId holder : holders) {
            decision.field("from " + holder, account.reserves(now).get(holder));
            if (holder.equals(ownership.self())) {
                unaskedForSelf.add(reply);
                continue;
            }
            effects.add(new Effect.SendToPeer(holder.vm(), reply));
        }
        effects.add(new Effect.LogDecision(decision.build()));
    }

    /** What was said unasked to this node's own holder since the last call. */
    List<GrantReply> takeUnaskedForSelf() {
        if (unaskedForSelf.isEmpty()) {
            return List.of();
        }
        List<GrantReply> taken = List.copyOf(unaskedForSelf);
        unaskedForSelf.clear();
        return taken;
    }

    /** Adds to a holder's view of an upstream what only its owner knows. */
    GrantView complete(GrantView seen, Instant now) {
        UpstreamAccount account = accounts.get(seen.upstream());
        if (account == null) {
            return seen;
        }
        PoolContract contract = contract(account);
        return new GrantView(
                seen.upstream(),
                seen.owner(),
                account.cold(contract, now),
                account.limit(contract, now),
                account.reserves(now),
                seen.allowance(),
                seen.fixedShare(),
                seen.inUse());
    }

    private boolean owns(Vm vm) {
        return ownership.ownerOf(vm).equals(Optional.of(ownership.self()));
    }

    private boolean open(Vm vm) {
        return !vm.leaving() && configuration.inService(vm);
    }

    private PoolContract contract(UpstreamAccount account) {
        return configuration.pool(account.pool());
    }
}
