package org.wagtaillug.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage.GrantOffer;
import org.wagtaillug.message.PeerMessage.GrantReply;
import org.wagtaillug.message.PeerMessage.GrantRequest;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

class GrantHolderTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final PoolId POOL = new PoolId("rerank");
    private static final VmId ID = new VmId("rerank-1");
    private static final NodeId OWNER = new NodeId(new VmId("node-1"), 1);
    private static final NodeId NEXT_OWNER = new NodeId(new VmId("node-3"), 1);

    private final FakeConfiguration configuration = new FakeConfiguration(2, 4, 8);
    private final FakeOwnership ownership = new FakeOwnership(new NodeId(new VmId("node-2"), 1));
    private final GrantHolder holder =
            new GrantHolder(ownership, configuration, new GrantOwner(ownership, configuration));
    private final Effects effects = new Effects();

    @BeforeEach
    void setUp() {
        ownership.members.add(OWNER);
        ownership.members.add(NEXT_OWNER);
        ownership.owner = Optional.of(OWNER);
        holder.onVmList(List.of(vm(false)), START);
        holder.setDemand(POOL, 1);
    }

    private static Vm vm(boolean leaving) {
        return new Vm(ID, Optional.of(POOL), new DomainId("a"), new RegionId("r"), "127.0.0.1", 1, leaving);
    }

    private GrantRequest sentRequest(NodeId owner, Instant now) {
        holder.onTick(now, effects);
        for (Effect effect : effects.drain()) {
            if (effect instanceof Effect.SendToPeer(VmId to, GrantRequest request) && to.equals(owner.vm())) {
                return request;
            }
        }
        throw new AssertionError("asked " + owner + " nothing at " + now);
    }

    private void reply(GrantRequest request, int allowed, Duration lifetime, Instant now) {
        GrantOffer offer = new GrantOffer(ID, allowed, lifetime, true, Optional.empty());
        holder.onReply(OWNER, new GrantReply(request.sequence(), List.of(offer)), now, effects);
    }

    /**
     * Guards against two nodes using one slot: the owner has been told that this node released it, and then a delayed
     * reply grants it again.
     */
    @Test
    void ignoresRepliesThatComeLateOrTwice() {
        GrantRequest first = sentRequest(OWNER, START);
        GrantRequest second = sentRequest(OWNER, START.plusMillis(100));
        reply(second, 0, Duration.ofSeconds(2), START.plusMillis(110));
        reply(first, 1, Duration.ofSeconds(2), START.plusMillis(120));
        assertThat(holder.available(ID, START.plusMillis(120))).isZero();
        GrantRequest third = sentRequest(OWNER, START.plusMillis(200));
        assertThat(third.applied()).isEqualTo(second.sequence());
        reply(third, 1, Duration.ofMillis(500), START.plusMillis(210));
        GrantOffer nothing = new GrantOffer(ID, 0, Duration.ofSeconds(2), true, Optional.empty());
        holder.onReply(OWNER, new GrantReply(0, List.of(nothing)), START.plusMillis(220), effects);
        reply(third, 1, Duration.ofMillis(500), START.plusMillis(230));
        assertThat(holder.available(ID, START.plusMillis(230))).isZero();
    }

    /**
     * While the log is unavailable no node may grant. A node that has just started, or has not used a pool for a while,
     * could not use the pool until the log is back unless it accepts from the owner that the upstream is warm.
     */
    @Test
    void acceptsWarmStateFromOwnerWhileNobodyMayGrant() {
        Instant later = receiveOffersOfOwnerThatMayNotGrant(false);
        assertThat(holder.available(ID, later)).isPositive();
    }

    @Test
    void getsNothingOfAColdUpstreamWhileNobodyMayGrant() {
        Instant later = receiveOffersOfOwnerThatMayNotGrant(true);
        assertThat(holder.available(ID, later)).isZero();
    }

    private Instant receiveOffersOfOwnerThatMayNotGrant(boolean cold) {
        GrantOffer offer = new GrantOffer(ID, 0, Duration.ZERO, cold, Optional.empty());
        Instant now = START;
        for (int round = 0; round < 4; round++) {
            GrantRequest request = sentRequest(OWNER, now);
            holder.onReply(OWNER, new GrantReply(request.sequence(), List.of(offer)), now, effects);
            now = now.plusMillis(500);
        }
        return now;
    }

    /**
     * An owner that leaves an upstream out of a reply considers its allowance released once the reply is acknowledged.
     */
    @Test
    void releasesWhatAReplyLeavesOut() {
        reply(sentRequest(OWNER, START), 1, Duration.ofSeconds(2), START);
        assertThat(holder.available(ID, START)).isEqualTo(1);
        GrantRequest next = sentRequest(OWNER, START.plusMillis(500));
        holder.onReply(OWNER, new GrantReply(next.sequence(), List.of()), START.plusMillis(510), effects);
        assertThat(holder.available(ID, START.plusMillis(510))).isZero();
    }

    /**
     * Guards against exceeding the limit: a node that was paused past the end of its grant sends a request although the
     * slot has been granted to another node.
     */
    @Test
    void startsNothingOnceTheGrantHasExpired() {
        Instant expires = START.plusMillis(500);
        reply(sentRequest(OWNER, START), 1, Duration.ofMillis(500), START.plusMillis(300));
        assertThat(holder.sendDeadline(ID, START.plusMillis(300))).isEqualTo(expires);
        assertThat(holder.available(ID, expires.minusMillis(1))).isEqualTo(1);
        assertThat(holder.tryStart(ID, expires)).isFalse();
    }

    /**
     * The roster changes, and this node learns of it before the old owner, which keeps granting for a moment. If the
     * old owner were no longer told what is in flight here, it would grant the slot to a third node.
     */
    @Test
    void tellsAFormerOwnerWhatRunsUnderItsGrant() {
        reply(sentRequest(OWNER, START), 1, Duration.ofMillis(500), START);
        assertThat(holder.tryStart(ID, START)).isTrue();
        ownership.owner = Optional.of(NEXT_OWNER);
        GrantRequest request = sentRequest(OWNER, START.plusMillis(500));
        assertThat(request.demands()).singleElement().satisfies(each -> {
            assertThat(each.inUse()).isEqualTo(1);
            assertThat(each.wanted()).isZero();
        });
        holder.onFinished(ID, UpstreamOutcome.SUCCEEDED, START.plusMillis(600));
        reply(request, 0, Duration.ofSeconds(2), START.plusMillis(600));
        assertThat(sentRequest(OWNER, START.plusMillis(700)).demands()).isEmpty();
    }

    /**
     * The upstream continues to work on a request whose connection went silent; the next request must not be sent on
     * top of it.
     */
    @Test
    void keepsTheSlotOfASilentRequest() {
        reply(sentRequest(OWNER, START), 1, Duration.ofMillis(500), START);
        holder.tryStart(ID, START);
        holder.onFinished(ID, UpstreamOutcome.FAILED, START);
        GrantRequest request = sentRequest(OWNER, START.plusMillis(500));
        assertThat(request.demands().get(0).failed()).isTrue();
        assertThat(request.demands().get(0).inUse()).isEqualTo(1);
        reply(request, 1, Duration.ofMillis(500), START.plusMillis(500));
        assertThat(holder.available(ID, START.plusMillis(500))).isZero();
        Instant over = START.plus(GrantOwner.MAX_ATTEMPT_DURATION);
        assertThat(sentRequest(OWNER, over).demands().get(0).inUse()).isZero();
    }

    /** Guards against a further request to a cold upstream that still works on one that was just cancelled. */
    @Test
    void keepsTheSlotOfARequestThatWasCancelledAtAColdUpstream() {
        reply(sentRequest(OWNER, START), 1, Duration.ofSeconds(2), START);
        holder.tryStart(ID, START);
        holder.onFinished(ID, UpstreamOutcome.ABANDONED, START);
        assertThat(holder.available(ID, START)).isZero();
        assertThat(sentRequest(OWNER, START.plusMillis(500)).demands().get(0).inUse())
                .isEqualTo(1);
        Instant noticed = START.plus(UpstreamGrant.CANCELLATION_TIME);
        assertThat(holder.available(ID, noticed.minusMillis(1))).isZero();
        assertThat(holder.available(ID, noticed)).isEqualTo(1);
    }

    @Test
    void startsNothingAtAnUpstreamThatLeavesOrIsOutOfService() {
        reply(sentRequest(OWNER, START), 1, Duration.ofMillis(500), START);
        configuration.outOfService.add(ID);
        assertThat(holder.available(ID, START)).isZero();
        configuration.outOfService.clear();
        assertThat(holder.available(ID, START)).isEqualTo(1);
        holder.onVmList(List.of(vm(true)), START);
        assertThat(holder.available(ID, START)).isZero();
        holder.onVmList(List.of(), START);
        assertThat(holder.tryStart(ID, START)).isFalse();
    }

    @Test
    void releasesWhatItNoLongerWants() {
        reply(sentRequest(OWNER, START), 1, Duration.ofSeconds(2), START);
        holder.setDemand(POOL, 0);
        GrantRequest release = sentRequest(OWNER, START.plusMillis(500));
        assertThat(release.demands().get(0).wanted()).isZero();
        reply(release, 0, Duration.ofSeconds(2), START.plusMillis(510));
        GrantRequest acknowledgement = sentRequest(OWNER, START.plusMillis(560));
        assertThat(acknowledgement.applied()).isEqualTo(release.sequence());
        assertThat(acknowledgement.demands()).isEmpty();
        reply(acknowledgement, 0, Duration.ofSeconds(2), START.plusMillis(570));
        holder.onTick(START.plusSeconds(5), effects);
        assertThat(effects.drain()).isEmpty();
    }
}
