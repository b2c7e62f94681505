package org.wagtaillug.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Timing;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage.GrantDemand;
import org.wagtaillug.message.PeerMessage.GrantOffer;
import org.wagtaillug.message.PeerMessage.GrantReply;
import org.wagtaillug.message.PeerMessage.GrantRequest;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

class GrantOwnerTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final PoolId POOL = new PoolId("rerank");
    private static final VmId ID = new VmId("rerank-1");
    private static final NodeId HOLDER = new NodeId(new VmId("node-2"), 1);

    private final FakeConfiguration configuration = new FakeConfiguration(2, 4, 8);
    private final FakeOwnership ownership = new FakeOwnership(new NodeId(new VmId("node-1"), 1));
    private final GrantOwner owner = new GrantOwner(ownership, configuration);
    private final Effects effects = new Effects();
    private Instant now = START;
    private long sequence;

    @BeforeEach
    void setUp() {
        ownership.owner = Optional.of(ownership.self());
        ownership.members.add(HOLDER);
        owner.onVmList(List.of(vm(false)), now);
        owner.onTick(now, effects);
        now = now.plus(GrantOwner.MAX_ATTEMPT_DURATION);
        owner.onTick(now, effects);
        report(1);
        effects.drain();
    }

    private static Vm vm(boolean leaving) {
        return new Vm(ID, Optional.of(POOL), new DomainId("a"), new RegionId("r"), "127.0.0.1", 1, leaving);
    }

    private void report(long startedAt) {
        Instant start = Instant.ofEpochMilli(startedAt);
        LoadReport report = new LoadReport(start, now, 0, 0, 8, Optional.empty(), 0, 0);
        owner.onLoadReport(ID, report, now, effects);
    }

    private GrantOffer request(int wanted, long succeeded, boolean failed) {
        sequence++;
        Optional<Instant> startedAt = Optional.of(Instant.ofEpochMilli(1));
        GrantDemand demand = new GrantDemand(ID, wanted, 0, succeeded, failed, startedAt);
        GrantRequest request = new GrantRequest(sequence, Math.max(0, sequence - 1), List.of(demand));
        return owner.answer(HOLDER, request, now, effects).get().offers().get(0);
    }

    private List<GrantReply> withdrawals() {
        List<GrantReply> found = new ArrayList<>();
        for (Effect effect : effects.drain()) {
            if (effect instanceof Effect.SendToPeer(VmId to, GrantReply reply) && to.equals(HOLDER.vm())) {
                found.add(reply);
            }
        }
        return found;
    }

    @Test
    void raisesTheLimitByEvidence() {
        assertThat(request(9, 0, false).allowed()).isEqualTo(2);
        assertThat(request(9, 3, false).cold()).isTrue();
        GrantOffer warm = request(9, 4, false);
        assertThat(warm.cold()).isFalse();
        assertThat(warm.allowed()).isEqualTo(4);
        assertThat(warm.lifetime()).isEqualTo(Timing.MAX_GRANT_LIFETIME);
        assertThat(request(9, 7, false).allowed()).isEqualTo(4);
        assertThat(request(9, 8, false).allowed()).isEqualTo(8);
        assertThat(request(9, 999, false).allowed()).isEqualTo(8);
    }

    @Test
    void grantsNothingWhileItMayNot() {
        ownership.grantAllowed = () -> false;
        GrantOffer offer = request(1, 0, false);
        assertThat(offer.allowed()).isZero();
        assertThat(offer.lifetime()).isEqualTo(Duration.ZERO);
    }

    @Test
    void keepsAWarmUpstreamWarmAcrossAChangeOfOwner() {
        GrantOwner next = new GrantOwner(ownership, configuration);
        next.onVmList(List.of(vm(false)), now);
        next.onTick(now, effects);
        LoadReport report = new LoadReport(Instant.ofEpochMilli(1), now, 3, 0, 8, Optional.empty(), 0, 0);
        next.onLoadReport(ID, report, now, effects);
        GrantDemand demand = new GrantDemand(ID, 3, 3, 100, false, Optional.of(Instant.ofEpochMilli(1)));
        GrantRequest request = new GrantRequest(1, 0, List.of(demand));
        GrantOffer offer =
                next.answer(HOLDER, request, now, effects).get().offers().get(0);
        assertThat(offer.cold()).isFalse();
        assertThat(offer.allowed()).isEqualTo(3);
    }

    /**
     * Guards against a new owner filling a cold upstream that still works on requests from dead or unreachable nodes.
     * Only a report of idleness that describes a moment after the old grants may shorten the wait, and reports lag.
     */
    @Test
    void aNewOwnerWaitsForWhatMayStillRun() {
        ownership.fencingNumber = 2;
        report(1);
        assertThat(request(1, 0, false).allowed()).isZero();
        now = now.plusMillis(2_999);
        report(1);
        assertThat(request(1, 0, false).allowed()).isZero();
        now = now.plusMillis(1);
        report(1);
        assertThat(request(1, 0, false).allowed()).isEqualTo(1);
        ownership.fencingNumber = 3;
        assertThat(request(1, 0, false).allowed()).isZero();
        now = now.plus(GrantOwner.MAX_ATTEMPT_DURATION);
        assertThat(request(1, 0, false).allowed()).isEqualTo(1);
    }

    /**
     * An owner is paused during a restart. On waking it finds grant requests with many successes from before the
     * restart, and must not grant shares for a warm upstream. The answer to its last load request has waited as well
     * and is as old.
     */
    @Test
    void aPausedOwnerTreatsItsUpstreamsAsCold() {
        assertThat(request(9, 100, false).cold()).isFalse();
        now = now.plusMillis(1_501);
        report(1);
        assertThat(request(9, 200, false).cold()).isTrue();
        owner.onTick(now, effects);
        report(1);
        assertThat(request(9, 200, false).cold()).isFalse();
    }

    /**
     * Guards against granting a slot twice: a delayed grant request reports that nothing is in use, but by now
     * something is.
     */
    @Test
    void aReportOfNothingInUseFreesNoUnacknowledgedAllowance() {
        assertThat(request(2, 0, false).allowed()).isEqualTo(2);
        assertThat(requestAsAnotherHolder(1)).isZero();
        now = now.plus(GrantOwner.COLD_TURN);
        assertThat(request(2, 0, false).allowed()).isEqualTo(1);
        assertThat(requestAsAnotherHolder(2)).isZero();
        assertThat(request(2, 0, false).allowed()).isEqualTo(1);
        assertThat(requestAsAnotherHolder(3)).isEqualTo(1);
    }

    private int requestAsAnotherHolder(long number) {
        NodeId other = new NodeId(new VmId("node-3"), 1);
        ownership.members.add(other);
        GrantDemand demand = new GrantDemand(ID, 1, 0, 0, false, Optional.empty());
        GrantRequest request = new GrantRequest(number, number - 1, List.of(demand));
        return owner.answer(other, request, now, effects).get().offers().get(0).allowed();
    }

    /**
     * Guards against a warm upstream that restarts and is overloaded again at once because nodes keep using shares
     * granted before. The new start time in its report has to withdraw them without waiting for a grant request.
     */
    @Test
    void withdrawsAtOnceWhenTheUpstreamRestarts() {
        request(9, 100, false);
        effects.drain();
        report(2);
        assertThat(withdrawals()).singleElement().satisfies(reply -> {
            assertThat(reply.sequence()).isZero();
            assertThat(reply.offers().get(0).allowed()).isZero();
        });
        assertThat(request(9, 101, false).cold()).isTrue();
    }

    @Test
    void turnsColdOnAFailureAndOnMissingReports() {
        request(9, 100, false);
        assertThat(request(9, 0, true).cold()).isTrue();
        assertThat(request(9, 4, false).cold()).isFalse();
        owner.onLoadRequestFailed(ID, now, effects);
        owner.onLoadRequestFailed(ID, now, effects);
        assertThat(request(9, 4, false).cold()).isFalse();
        owner.onLoadRequestFailed(ID, now, effects);
        assertThat(request(9, 4, false).cold()).isTrue();
    }

    /**
     * After a failure at one node, what another node counted before and reports later must not make the upstream warm
     * again.
     */
    @Test
    void successesFromBeforeAFailureAreNoEvidence() {
        request(9, 3, false);
        GrantDemand failed = new GrantDemand(ID, 1, 0, 0, true, Optional.of(Instant.ofEpochMilli(1)));
        owner.answer(new NodeId(new VmId("node-3"), 1), new GrantRequest(1, 0, List.of(failed)), now, effects);
        assertThat(request(9, 50, false).cold()).isTrue();
        assertThat(request(9, 53, false).cold()).isTrue();
        assertThat(request(9, 54, false).cold()).isFalse();
    }

    /**
     * Guards against work that still reaches an upstream that operators took out of service or that the platform
     * reports as leaving.
     */
    @Test
    void withdrawsFromAnUpstreamThatLeavesOrIsTakenOut() {
        request(1, 0, false);
        configuration.outOfService.add(ID);
        owner.onTick(now, effects);
        assertThat(withdrawals()).hasSize(1);
        assertThat(request(1, 0, false).allowed()).isZero();
        configuration.outOfService.clear();
        now = now.plus(GrantOwner.DEMAND_LIFETIME);
        assertThat(request(1, 0, false).allowed()).isEqualTo(1);
        effects.drain();
        owner.onVmList(List.of(vm(true)), now);
        owner.onTick(now, effects);
        assertThat(withdrawals()).hasSize(1);
        assertThat(request(1, 0, false).allowed()).isZero();
    }

    /** Guards against overloading a failure domain that comes back with the load that it took before it left. */
    @Test
    void beginsColdWhenItComesBackIntoService() {
        assertThat(request(9, 100, false).cold()).isFalse();
        configuration.outOfService.add(ID);
        owner.onTick(now, effects);
        configuration.outOfService.clear();
        owner.onTick(now, effects);
        assertThat(request(9, 101, false).cold()).isTrue();
        assertThat(request(9, 105, false).cold()).isFalse();
    }

    /**
     * An upstream turned cold without a restart while only one node used it. The next owner hears from a node that used
     * it long before, when it was warm, and must not grant to all at once.
     */
    @Test
    void aHoldersOldSuccessesAreNoEvidence() {
        UpstreamGrant grant = new UpstreamGrant(vm(false));
        grant.apply(new GrantOffer(ID, 4, Timing.MAX_GRANT_LIFETIME, false, Optional.empty()), HOLDER, now, now);
        grant.started();
        grant.onFinished(UpstreamOutcome.SUCCEEDED, now);
        assertThat(grant.demand(1, now.plusSeconds(30)).succeeded()).isEqualTo(1);
        assertThat(grant.demand(1, now.plusSeconds(31)).succeeded()).isZero();
    }

    /**
     * A response of the previous process that is read after the news of a restart must not count as a success of the
     * new process.
     */
    @Test
    void anAnswerOfTheProcessBeforeIsNoEvidence() {
        UpstreamGrant grant = new UpstreamGrant(vm(false));
        grant.apply(new GrantOffer(ID, 2, Timing.MAX_GRANT_LIFETIME, true, startedAt(1)), HOLDER, now, now);
        grant.started();
        grant.apply(new GrantOffer(ID, 2, Timing.MAX_GRANT_LIFETIME, true, startedAt(2)), HOLDER, now, now);
        grant.onFinished(UpstreamOutcome.SUCCEEDED, now);
        assertThat(grant.demand(1, now).succeeded()).isZero();
        grant.started();
        grant.onFinished(UpstreamOutcome.SUCCEEDED, now);
        assertThat(grant.demand(1, now).succeeded()).isEqualTo(1);
    }

    private Optional<LoadReport> startedAt(long millis) {
        Instant start = Instant.ofEpochMilli(millis);
        return Optional.of(new LoadReport(start, now, 0, 0, 8, Optional.empty(), 0, 0));
    }

    /**
     * A small demand is spread over few upstreams, since each upstream used costs its owner two messages per second.
     */
    @Test
    void asksForFewUpstreamsWhenLittleIsWanted() {
        assertThat(upstreamsAskedFor(1)).isEqualTo(GrantHolder.MIN_FAN_OUT);
        assertThat(upstreamsAskedFor(9)).isEqualTo(9);
    }

    private int upstreamsAskedFor(int wanted) {
        FakeOwnership view = new FakeOwnership(HOLDER);
        view.owner = Optional.of(ownership.self());
        GrantHolder holder = new GrantHolder(view, configuration, new GrantOwner(view, configuration));
        holder.onVmList(upstreams(40), now);
        holder.setDemand(POOL, wanted);
        holder.onTick(now, effects);
        Effect.SendToPeer message = (Effect.SendToPeer) effects.drain().getFirst();
        return ((GrantRequest) message.message()).demands().size();
    }

    private static List<Vm> upstreams(int count) {
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            VmId id = new VmId("rerank-" + i);
            vms.add(new Vm(id, Optional.of(POOL), new DomainId("a"), new RegionId("r"), "127.0.0.1", 1, false));
        }
        return vms;
    }

    /**
     * With a hundred upstreams in a pool and as many nodes, grant requests from every node for every upstream would
     * saturate the network.
     */
    @Test
    void asksForAtMostSixteenUpstreamsOfAPool() {
        FakeOwnership view = new FakeOwnership(HOLDER);
        view.owner = Optional.of(ownership.self());
        GrantHolder holder = new GrantHolder(view, configuration, new GrantOwner(view, configuration));
        holder.onVmList(upstreams(40), now);
        holder.onTick(now, effects);
        assertThat(effects.drain()).isEmpty();
        holder.setDemand(POOL, 100);
        holder.onTick(now, effects);
        assertThat(effects.drain()).singleElement().satisfies(effect -> {
            Effect.SendToPeer message = (Effect.SendToPeer) effect;
            GrantRequest request = (GrantRequest) message.message();
            assertThat(request.demands()).hasSize(GrantHolder.MAX_FAN_OUT).allMatch(each -> each.wanted() == 7);
        });
    }
}
