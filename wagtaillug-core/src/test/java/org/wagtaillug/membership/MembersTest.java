package org.wagtaillug.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.configuration.Samples.ADDRESS;
import static org.wagtaillug.configuration.Samples.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.configuration.ControlLog;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.configuration.FakeLog;
import org.wagtaillug.configuration.Samples;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.log.LogRecord.RosterChange;
import org.wagtaillug.log.LogRecord.RosterChangeKind;
import org.wagtaillug.log.LogRecord.StateEntry;
import org.wagtaillug.log.LogRecord.StateMember;
import org.wagtaillug.message.PeerMessage.Position;
import org.wagtaillug.message.PeerMessage.Probe;
import org.wagtaillug.message.PeerMessage.ProbeReply;
import org.wagtaillug.message.PeerMessage.StateReply;
import org.wagtaillug.message.PeerMessage.StateRequest;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

class MembersTest {
    private static final NodeId SELF = node(1);
    private static final Vm UPSTREAM = Samples.upstream("engine-1", "pl-a");

    private final FakeLog stream = new FakeLog();
    private final Effects effects = new Effects();
    private final ControlState state = new ControlState();
    private final ControlLog log = ControlLog.builder(SELF, ADDRESS, state).build();
    private final Members members = new Members(log, List.of());
    private final Map<NodeId, Long> probes = new HashMap<>();
    private List<Effect> last = List.of();
    private Instant now = Instant.EPOCH;

    private long append(RosterChangeKind kind, NodeId subject, NodeId author) {
        Optional<NodeAddress> address = kind == RosterChangeKind.JOIN ? Optional.of(ADDRESS) : Optional.empty();
        return stream.append(new RosterChange(kind, subject, author, address), now);
    }

    private void roster(int size) {
        for (int number = 1; number <= size; number++) {
            append(RosterChangeKind.JOIN, node(number), node(number));
        }
        read();
        tick(0);
    }

    private void read() {
        log.onLogRead(now, stream.read(state.through() + 1, 100), now, effects);
    }

    private void tick(long milliseconds) {
        now = now.plusMillis(milliseconds);
        members.onTick(now, effects);
        last = effects.drain();
        for (Effect effect : last) {
            if (effect instanceof Effect.SendToPeer send && send.message() instanceof Probe probe) {
                probes.put(new NodeId(send.receiver(), 1), probe.sequence());
            }
        }
    }

    private ProbeReply reply(NodeId peer, Position position, Duration tailAge, boolean reachable) {
        return new ProbeReply(probes.get(peer), position, Optional.ofNullable(tailAge), reachable, true);
    }

    private void answer(int peer, Position position, Duration tailAge, boolean reachable) {
        members.onPeerMessage(node(peer), reply(node(peer), position, tailAge, reachable), now, effects);
    }

    private Position own() {
        return new Position(state.through(), state.digest());
    }

    private List<RosterChange> appended() {
        List<RosterChange> found = new ArrayList<>();
        for (Effect effect : last) {
            if (effect instanceof Effect.AppendToLog append && append.record() instanceof RosterChange change) {
                found.add(change);
            }
        }
        return found;
    }

    private boolean requestsStateFrom(VmId peer) {
        return last.contains(new Effect.SendToPeer(peer, new StateRequest()));
    }

    @Test
    void joinsOnceItHasTheCompleteStateAndAgainAfterItsRemoval() {
        tick(0);
        assertThat(appended()).isEmpty();
        read();
        tick(50);
        assertThat(appended()).hasSize(1);
        append(RosterChangeKind.JOIN, SELF, SELF);
        append(RosterChangeKind.JOIN, node(2), node(2));
        read();
        tick(2_050);
        assertThat(appended()).isEmpty();
        append(RosterChangeKind.REMOVE, SELF, node(2));
        read();
        tick(50);
        assertThat(appended())
                .as("rejoins only after a delay, so that its peers can hear it")
                .isEmpty();
        read();
        tick(500);
        assertThat(appended()).extracting(RosterChange::kind).containsExactly(RosterChangeKind.JOIN);
        members.leave(now, effects);
        last = effects.drain();
        assertThat(appended()).extracting(RosterChange::kind).containsExactly(RosterChangeKind.LEAVE);
    }

    @Test
    void freshnessCountsFromSendingTheProbeLessThePeersAge() {
        roster(3);
        assertThat(members.freshUntil()).contains(now.plus(Timing.LEASE));
        tick(1_000);
        Instant sent = now;
        now = now.plusMillis(700);
        answer(2, own(), Duration.ofMillis(300), true);
        assertThat(members.freshUntil()).contains(sent.minusMillis(300).plus(Timing.LEASE));
        assertThat(members.viewStatus(sent.plusMillis(2_699))).isEqualTo(ViewStatus.FRESH);
        assertThat(members.viewStatus(sent.plusMillis(2_700))).isNotEqualTo(ViewStatus.FRESH);
    }

    @Test
    void aPeerThatIsAheadOrDiffersOrAnswersAnotherProbeDoesNotConfirm() {
        roster(3);
        Optional<Instant> before = members.freshUntil();
        tick(1_000);
        answer(2, new Position(state.through() + 1, 0), Duration.ZERO, true);
        assertThat(members.freshUntil()).isEqualTo(before);
        read();
        before = members.freshUntil();
        tick(950);
        assertThat(requestsStateFrom(new VmId("entry-2")))
                .as("the log has precedence")
                .isFalse();
        tick(50);
        assertThat(requestsStateFrom(new VmId("entry-2"))).isTrue();
        answer(2, new Position(state.through(), state.digest() + 1), Duration.ZERO, true);
        assertThat(members.freshUntil()).isEqualTo(before);
        tick(500);
        ProbeReply foreign = new ProbeReply(999, own(), Optional.of(Duration.ZERO), true, true);
        members.onPeerMessage(node(2), foreign, now, effects);
        assertThat(members.freshUntil()).isEqualTo(before);
        NodeId otherRun = new NodeId(new VmId("entry-2"), 2);
        members.onPeerMessage(otherRun, reply(node(2), own(), Duration.ZERO, true), now, effects);
        assertThat(members.freshUntil()).isEqualTo(before);
    }

    @Test
    void aPeerBehindConfirmsTheStateAsOfItsRead() {
        roster(3);
        tick(1_000);
        answer(2, new Position(1, 77), Duration.ZERO, true);
        assertThat(members.freshUntil()).contains(now.plus(Timing.LEASE));
    }

    /**
     * Distinguishes two faults that look the same at first, since the log does not answer: the log is unavailable to
     * all nodes, and service must go on; or one node loses the log and its peers while changes go on, and it must stop.
     * The replies of the peers make the difference.
     */
    @Test
    void distinguishesALogOutageFromBeingCutOff() {
        assertThat(members.viewStatus(now)).isEqualTo(ViewStatus.STARTING);
        roster(5);
        assertThat(members.viewStatus(now)).isEqualTo(ViewStatus.FRESH);
        tick(4_000);
        assertThat(members.viewStatus(now)).isEqualTo(ViewStatus.CUT_OFF);
        answer(2, own(), Duration.ofSeconds(5), false);
        assertThat(members.viewStatus(now)).isEqualTo(ViewStatus.CUT_OFF);
        answer(3, own(), null, false);
        assertThat(members.viewStatus(now)).as("hears two of its four peers").isEqualTo(ViewStatus.LOG_OUTAGE);
        tick(500);
        answer(4, new Position(state.through() + 1, 0), Duration.ofSeconds(5), false);
        assertThat(members.viewStatus(now))
                .as("a peer has read one record more")
                .isEqualTo(ViewStatus.CUT_OFF);
        tick(50);
        assertThat(requestsStateFrom(new VmId("entry-4"))).isTrue();
    }

    @Test
    void aSingleNodeContinuesDuringALogOutage() {
        roster(1);
        tick(4_000);
        assertThat(members.viewStatus(now)).isEqualTo(ViewStatus.LOG_OUTAGE);
        assertThat(members.mayGrant(UPSTREAM, now)).isFalse();
    }

    @Test
    void startsFromASeedsStateDuringALogOutage() {
        ControlLog cold =
                ControlLog.builder(node(9), ADDRESS, new ControlState()).build();
        Members late = new Members(cold, List.of(new Members.Seed(new VmId("entry-2"), ADDRESS)));
        late.onTick(now, effects);
        last = effects.drain();
        assertThat(last).anyMatch(effect -> effect instanceof Effect.PeersChanged);
        roster(3);
        Position position = own();
        late.onPeerMessage(node(2), new ProbeReply(1, position, Optional.empty(), false, true), now, effects);
        now = now.plusMillis(50);
        late.onTick(now, effects);
        last = effects.drain();
        assertThat(requestsStateFrom(new VmId("entry-2"))).isTrue();
        StateReply reply = new StateReply(state.through(), state.entries(), state.members());
        late.onPeerMessage(node(3), reply, now, effects);
        assertThat(cold.complete())
                .as("the state was not requested from this peer")
                .isFalse();
        late.onPeerMessage(node(2), reply, now, effects);
        assertThat(cold.complete()).isTrue();
        assertThat(late.viewStatus(now)).isEqualTo(ViewStatus.CUT_OFF);
        late.onTick(now, effects);
        assertThat(late.viewStatus(now)).as("hears only one of three nodes").isEqualTo(ViewStatus.CUT_OFF);
    }

    @Test
    void removesASilentPeerWhileItHearsAMajority() {
        roster(4);
        List<RosterChange> removals = new ArrayList<>();
        for (int period = 0; period < 9; period++) {
            tick(500);
            answer(2, own(), Duration.ZERO, true);
            answer(3, own(), Duration.ZERO, true);
            read();
            removals.addAll(appended());
        }
        assertThat(removals).extracting(RosterChange::subject).containsExactly(node(4));
    }

    /**
     * Guards against a node that removes its peers after a pause of some seconds: their replies have arrived, but the
     * node runs its own tick first. Silence must not count while the node itself is paused.
     */
    @Test
    void aNodeThatWasPausedRemovesNoPeers() {
        roster(4);
        tick(500);
        answer(2, own(), Duration.ZERO, true);
        answer(3, own(), Duration.ZERO, true);
        answer(4, own(), Duration.ZERO, true);
        now = now.plusSeconds(20);
        read();
        answer(2, own(), Duration.ZERO, true);
        tick(0);
        answer(2, own(), Duration.ZERO, true);
        answer(3, own(), Duration.ZERO, true);
        tick(500);
        assertThat(appended()).isEmpty();
    }

    @Test
    void aNodeThatHearsNoPeerRemovesPeersOnlyAfterALongSilence() {
        roster(4);
        List<RosterChange> removals = new ArrayList<>();
        for (int period = 0; period < 70; period++) {
            tick(500);
            read();
            removals.addAll(appended());
            if (period == 55) {
                assertThat(removals).isEmpty();
            }
        }
        assertThat(removals).extracting(RosterChange::subject).contains(node(2), node(3), node(4));
    }

    /**
     * Guards against a domain that is cut off as a whole and goes on as in an outage of the log because its nodes
     * mostly probe, and hear, one another.
     */
    @Test
    void probesEightOverAllDomainsAndIsProbedByFourToTwelve() {
        List<StateMember> roster = new ArrayList<>();
        for (int number = 1; number <= 40; number++) {
            roster.add(new StateMember(node(number), number, Samples.address("pl-" + number % 3)));
        }
        Map<VmId, Integer> proberCounts = new HashMap<>();
        for (StateMember prober : roster) {
            ProbedPeers probedPeers = new ProbedPeers(prober.node(), new Rendezvous());
            List<StateMember> peers = new ArrayList<>(roster);
            peers.remove(prober);
            probedPeers.refresh(peers, prober.address().domain(), now);
            int inOwnDomain = 0;
            for (ProbedPeer peer : probedPeers.all()) {
                proberCounts.merge(peer.vm(), 1, Integer::sum);
                int number = Integer.parseInt(peer.vm().value().substring("entry-".length()));
                inOwnDomain += roster.get(number - 1)
                                .address()
                                .domain()
                                .equals(prober.address().domain())
                        ? 1
                        : 0;
            }
            assertThat(probedPeers.all()).hasSize(8);
            assertThat(inOwnDomain).isEqualTo(2);
        }
        assertThat(proberCounts).hasSize(40);
        assertThat(proberCounts.values()).allMatch(count -> count >= 4 && count <= 12);
    }

    /**
     * Guards against two nodes granting for one cold upstream. The owner was cut off from the log while another node
     * joined, owned the upstream and was removed. It reads both records at once, is the owner before and after, and
     * must not grant while the last allowances of the other node are valid.
     */
    @Test
    void anOwnershipLostAndRegainedInOneBatchIsANewOne() {
        members.onVmList(List.of(UPSTREAM), now);
        roster(1);
        long first = members.fencingNumber(UPSTREAM);
        tick(Timing.HANDOVER.toMillis());
        read();
        assertThat(members.mayGrant(UPSTREAM, now)).isTrue();
        NodeId preferredNode = preferredNode();
        append(RosterChangeKind.JOIN, preferredNode, preferredNode);
        long regained = append(RosterChangeKind.REMOVE, preferredNode, SELF);
        read();
        assertThat(members.ownerOf(UPSTREAM)).contains(SELF);
        assertThat(members.mayGrant(UPSTREAM, now)).isFalse();
        assertThat(members.fencingNumber(UPSTREAM)).isEqualTo(regained).isGreaterThan(first);
        now = now.plus(Timing.HANDOVER).minusMillis(1);
        read();
        assertThat(members.mayGrant(UPSTREAM, now)).isFalse();
        now = now.plusMillis(1);
        assertThat(members.mayGrant(UPSTREAM, now)).isTrue();
    }

    /**
     * The same case, but the node replaces its state by that of a peer, in which the change of owner is not visible.
     */
    @Test
    void anOwnershipInAnAdoptedStateIsANewOne() {
        members.onVmList(List.of(UPSTREAM), now);
        roster(1);
        tick(Timing.HANDOVER.toMillis());
        read();
        assertThat(members.mayGrant(UPSTREAM, now)).isTrue();
        log.onStateReply(new StateReply(9, state.entries(), state.members()), now, effects);
        assertThat(members.mayGrant(UPSTREAM, now)).isFalse();
        assertThat(members.fencingNumber(UPSTREAM)).isEqualTo(9);
    }

    /** An upstream that is listed late may have had another owner until the last roster record. */
    @Test
    void anUpstreamListedLateCountsFromTheLastRosterRecord() {
        roster(1);
        now = now.plus(Timing.HANDOVER).minusMillis(1);
        read();
        members.onVmList(List.of(UPSTREAM), now);
        assertThat(members.mayGrant(UPSTREAM, now)).isFalse();
        now = now.plusMillis(1);
        assertThat(members.mayGrant(UPSTREAM, now)).isTrue();
        members.leave(now, effects);
        assertThat(members.mayGrant(UPSTREAM, now)).isFalse();
    }

    /** A node whose VM ranks before this node in the rendezvous order for the upstream. */
    private static NodeId preferredNode() {
        Rendezvous rendezvous = new Rendezvous();
        long own = rendezvous.score("engine-1", SELF.vm().value());
        for (int number = 2; ; number++) {
            if (rendezvous.score("engine-1", node(number).vm().value()) > own) {
                return node(number);
            }
        }
    }

    @Test
    void theOwnerIsInTheUpstreamsDomainIfThatHasANode() {
        roster(6);
        stream.append(
                new RosterChange(RosterChangeKind.JOIN, node(7), node(7), Optional.of(Samples.address("pl-b"))), now);
        read();

        assertThat(members.ownerOf(Samples.upstream("engine-1", "pl-b"))).contains(node(7));
        assertThat(members.ownerOf(UPSTREAM)).isPresent().isNotEqualTo(Optional.of(node(7)));
    }

    /**
     * A bit flip corrupts the state of one node, and it sends work to a zone that is out of service. Its peers at the
     * same offset agree on another digest, and it must adopt their state although that is not newer.
     */
    @Test
    void aCorruptNodeAdoptsTheStateThatTwoPeersAgreeOn() {
        stream.append(Samples.change("anita", "c", 0, Samples.service(true)), now);
        roster(3);
        ControlState correct = new ControlState();
        stream.all().forEach(correct::apply);
        state.repair(1, state.through(), List.of(), List.of());
        assertThat(state.entries())
                .as("a state with a wrong digest is rejected")
                .isNotEmpty();
        corrupt();
        tick(500);
        Position position = new Position(correct.through(), correct.digest());
        answer(2, position, Duration.ZERO, true);
        tick(500);
        assertThat(last)
                .noneMatch(
                        effect -> effect instanceof Effect.SendToPeer send && send.message() instanceof StateRequest);
        answer(2, position, Duration.ZERO, true);
        answer(3, position, Duration.ZERO, true);
        tick(500);
        VmId requested = new VmId(requestsStateFrom(new VmId("entry-2")) ? "entry-2" : "entry-3");
        assertThat(requestsStateFrom(requested)).isTrue();
        StateReply reply = new StateReply(correct.through(), correct.entries(), correct.members());
        members.onPeerMessage(new NodeId(requested, 1), reply, now, effects);
        assertThat(state.digest()).isEqualTo(correct.digest());
        assertThat(state.inService(UPSTREAM)).isFalse();
    }

    /** Replaces the entry by one with the opposite value, with a matching digest. */
    private void corrupt() {
        ControlState other = new ControlState();
        List<StateEntry> flipped = List.of(new StateEntry(Samples.service(false).key(), 1, Samples.service(false)));
        other.adopt(state.through(), flipped, state.members());
        assertThat(state.repair(other.digest(), state.through(), flipped, state.members()))
                .isTrue();
        assertThat(state.inService(UPSTREAM)).isTrue();
    }
}
