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
import org.wagtaillug.message.PeerMessage.GrantAsk;
import org.wagtaillug.message.PeerMessage.GrantOffer;
import org.wagtaillug.message.PeerMessage.GrantReply;
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
    void begin() {
        ownership.members.add(OWNER);
        ownership.members.add(NEXT_OWNER);
        ownership.owner = Optional.of(OWNER);
        holder.onVmList(List.of(vm(false)), START);
        holder.want(POOL, 1);
    }

    private static Vm vm(boolean leaving) {
        return new Vm(ID, Optional.of(POOL), new DomainId("a"), new RegionId("r"), "127.0.0.1", 1, leaving);
    }

    private GrantAsk asked(NodeId owner, Instant now) {
        holder.onTick(now, effects);
        for (Effect effect : effects.drain()) {
            if (effect instanceof Effect.SendToPeer(VmId to, GrantAsk ask) && to.equals(owner.vm())) {
                return ask;
            }
        }
        throw new AssertionError("asked " + owner + " nothing at " + now);
    }

    private void reply(GrantAsk ask, int allowed, Duration lifetime, Instant now) {
        GrantOffer offer = new GrantOffer(ID, allowed, lifetime, true, Optional.empty());
        holder.onReply(OWNER, new GrantReply(ask.sequence(), List.of(offer)), now, effects);
    }

    /** Two nodes use one place: the owner was told that this one had given it up, then an old reply gave it back. */
    @Test
    void ignoresRepliesThatComeLateOrTwice() {
        GrantAsk first = asked(OWNER, START);
        GrantAsk second = asked(OWNER, START.plusMillis(100));
        reply(second, 0, Duration.ofSeconds(2), START.plusMillis(110));
        reply(first, 1, Duration.ofSeconds(2), START.plusMillis(120));
        assertThat(holder.available(ID, START.plusMillis(120))).isZero();
        GrantAsk third = asked(OWNER, START.plusMillis(200));
        assertThat(third.applied()).isEqualTo(second.sequence());
        reply(third, 1, Duration.ofMillis(500), START.plusMillis(210));
        GrantOffer nothing = new GrantOffer(ID, 0, Duration.ofSeconds(2), true, Optional.empty());
        holder.onReply(OWNER, new GrantReply(0, List.of(nothing)), START.plusMillis(220), effects);
        reply(third, 1, Duration.ofMillis(500), START.plusMillis(230));
        assertThat(holder.available(ID, START.plusMillis(230))).isZero();
    }

    /**
     * The log is down and nobody may grant. A node that has just started, or that has not used a pool for a while, wants it:
     * without the owner's word that it is warm the pool would be out of reach until the log is back.
     */
    @Test
    void takesTheOwnersWordForWarmWhileNobodyMayGrant() {
        Instant later = wordOfAnOwnerThatMayNotGrant(false);
        assertThat(holder.available(ID, later)).isPositive();
    }

    @Test
    void getsNothingOfAColdUpstreamWhileNobodyMayGrant() {
        Instant later = wordOfAnOwnerThatMayNotGrant(true);
        assertThat(holder.available(ID, later)).isZero();
    }

    private Instant wordOfAnOwnerThatMayNotGrant(boolean cold) {
        GrantOffer offer = new GrantOffer(ID, 0, Duration.ZERO, cold, Optional.empty());
        Instant now = START;
        for (int round = 0; round < 4; round++) {
            GrantAsk ask = asked(OWNER, now);
            holder.onReply(OWNER, new GrantReply(ask.sequence(), List.of(offer)), now, effects);
            now = now.plusMillis(500);
        }
        return now;
    }

    /** An owner that leaves an upstream out of a reply takes it for handed back once that reply is acknowledged. */
    @Test
    void givesUpWhatAReplyLeavesOut() {
        reply(asked(OWNER, START), 1, Duration.ofSeconds(2), START);
        assertThat(holder.available(ID, START)).isEqualTo(1);
        GrantAsk next = asked(OWNER, START.plusMillis(500));
        holder.onReply(OWNER, new GrantReply(next.sequence(), List.of()), START.plusMillis(510), effects);
        assertThat(holder.available(ID, START.plusMillis(510))).isZero();
    }

    /** A node that slept past its grant sends one request more than the engine bears, for the place has a new user. */
    @Test
    void startsNothingOnceTheGrantHasLapsed() {
        Instant lapses = START.plusMillis(500);
        reply(asked(OWNER, START), 1, Duration.ofMillis(500), START.plusMillis(300));
        assertThat(holder.startBefore(ID, START.plusMillis(300))).isEqualTo(lapses);
        assertThat(holder.available(ID, lapses.minusMillis(1))).isEqualTo(1);
        assertThat(holder.start(ID, lapses)).isFalse();
    }

    /**
     * The roster changes; this node hears of it before the old owner does, which goes on granting for a moment. Not told
     * any more what runs here, it takes the place for free and gives it to a third node.
     */
    @Test
    void tellsAFormerOwnerWhatRunsUnderItsGrant() {
        reply(asked(OWNER, START), 1, Duration.ofMillis(500), START);
        assertThat(holder.start(ID, START)).isTrue();
        ownership.owner = Optional.of(NEXT_OWNER);
        GrantAsk ask = asked(OWNER, START.plusMillis(500));
        assertThat(ask.demands()).singleElement().satisfies(each -> {
            assertThat(each.inUse()).isEqualTo(1);
            assertThat(each.wanted()).isZero();
        });
        holder.finished(ID, Finish.SUCCEEDED, START.plusMillis(600));
        reply(ask, 0, Duration.ofSeconds(2), START.plusMillis(600));
        assertThat(asked(OWNER, START.plusMillis(700)).demands()).isEmpty();
    }

    /** The engine goes on with a request whose connection fell silent, and gets the next one on top of it. */
    @Test
    void keepsThePlaceOfASilentRequest() {
        reply(asked(OWNER, START), 1, Duration.ofMillis(500), START);
        holder.start(ID, START);
        holder.finished(ID, Finish.FAILED, START);
        GrantAsk ask = asked(OWNER, START.plusMillis(500));
        assertThat(ask.demands().get(0).failed()).isTrue();
        assertThat(ask.demands().get(0).inUse()).isEqualTo(1);
        reply(ask, 1, Duration.ofMillis(500), START.plusMillis(500));
        assertThat(holder.available(ID, START.plusMillis(500))).isZero();
        Instant over = START.plus(GrantOwner.LONGEST_ATTEMPT);
        assertThat(asked(OWNER, over).demands().get(0).inUse()).isZero();
    }

    @Test
    void startsNothingAtAnUpstreamThatLeavesOrIsOut() {
        reply(asked(OWNER, START), 1, Duration.ofMillis(500), START);
        configuration.out.add(ID);
        assertThat(holder.available(ID, START)).isZero();
        configuration.out.clear();
        assertThat(holder.available(ID, START)).isEqualTo(1);
        holder.onVmList(List.of(vm(true)), START);
        assertThat(holder.available(ID, START)).isZero();
        holder.onVmList(List.of(), START);
        assertThat(holder.start(ID, START)).isFalse();
    }

    @Test
    void handsBackWhatItDoesNotWantAnyMore() {
        reply(asked(OWNER, START), 1, Duration.ofSeconds(2), START);
        holder.want(POOL, 0);
        GrantAsk handBack = asked(OWNER, START.plusMillis(500));
        assertThat(handBack.demands().get(0).wanted()).isZero();
        reply(handBack, 0, Duration.ofSeconds(2), START.plusMillis(510));
        GrantAsk acknowledgement = asked(OWNER, START.plusMillis(560));
        assertThat(acknowledgement.applied()).isEqualTo(handBack.sequence());
        assertThat(acknowledgement.demands()).isEmpty();
        reply(acknowledgement, 0, Duration.ofSeconds(2), START.plusMillis(570));
        holder.onTick(START.plusSeconds(5), effects);
        assertThat(effects.drain()).isEmpty();
    }
}
