package org.wagtaillug.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;

class RosterTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final DomainId NORTH = new DomainId("north");
    private static final int SENDERS = 12;

    private static VmId node(int number) {
        return new VmId("10.1.0." + number);
    }

    private static Roster roster(int self, int from, int to) {
        Roster roster = new Roster(node(self));
        for (int number = from; number < to; number++) {
            roster.add(new Member(node(number), NORTH, 1), true, START);
        }
        return roster;
    }

    /** Guards against overloading a cold upstream by two hundred nodes that each send it a few requests. */
    @Test
    void onlyAFewMembersMaySendToAColdUpstream() {
        for (int upstream = 0; upstream < 50; upstream++) {
            VmId cold = new VmId("engine-" + upstream);
            int senders = 0;
            for (int number = 0; number < 200; number++) {
                senders += roster(number, 0, 200).selectsSelf(cold, SENDERS, START) ? 1 : 0;
            }
            assertThat(senders).isEqualTo(SENDERS);
        }
    }

    /** Guards against joining nodes that include themselves before the other nodes know of them. */
    @Test
    void aNodeThatJoinsSendsNothingToColdUpstreamsBeforeTheOthersKnowOfIt() {
        Roster roster = roster(0, 1, 8);
        VmId cold = new VmId("engine-1");
        roster.add(new Member(node(0), NORTH, 1), false, START);
        assertThat(roster.selectsSelf(cold, SENDERS, START.plusSeconds(2))).isFalse();
        assertThat(roster.selectsSelf(cold, SENDERS, START.plusSeconds(3))).isTrue();
    }

    /** Guards against a node that sends requests without being counted. */
    @Test
    void aNodeThatIsNotRegisteredSendsNothingToColdUpstreams() {
        Roster roster = roster(0, 0, 4);
        assertThat(roster.remove(node(0))).isTrue();
        assertThat(roster.selectsSelf(new VmId("engine-1"), SENDERS, START.plusSeconds(60)))
                .isFalse();
    }

    @Test
    void largeMachinesComeFirstInARanking() {
        Roster roster = new Roster(node(0));
        List<VmId> large = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            boolean isLarge = number % 5 == 0;
            roster.add(new Member(node(number), NORTH, isLarge ? 1.5 : 0.36), true, START);
            if (isLarge) {
                large.add(node(number));
            }
        }
        List<VmId> ranking = roster.ranking("encode");
        assertThat(ranking).hasSize(40);
        assertThat(ranking.subList(0, 8)).containsExactlyInAnyOrderElementsOf(large);
    }

    @Test
    void limitsAreSharedByAllMembers() {
        assertThat(roster(0, 0, 5).sharingNodes()).isEqualTo(12);
        assertThat(roster(0, 0, 95).sharingNodes()).isEqualTo(95);
    }

    @Test
    void anExpiredLeaseIsRemovedByTheResponsibleNode() {
        Member self = new Member(node(0), NORTH, 1);
        Registration registration = new Registration(self);
        registration.onEntry(self, START);
        registration.onEntry(new Member(node(1), NORTH, 1), START);
        Instant later = START.plus(Duration.ofMinutes(16));
        assertThat(registration.due(false, later))
                .extracting(Registration.Write::member)
                .containsExactly(node(0));
        registration.onEntry(self, later);
        assertThat(registration.due(true, later))
                .extracting(Registration.Write::member)
                .containsExactly(node(1));
    }

    /** Guards against a malformed record that is taken for a member or stops the node. */
    @Test
    void aMalformedRecordIsNoMember() {
        byte[] valid = MemberRecord.encode(new Member(node(1), NORTH, 0.75));
        assertThat(MemberRecord.decode("10.1.0.1", valid).get().capacity()).isEqualTo(0.75);
        for (String text : List.of("", "2\tnorth\t1", "1\tnorth", "1\tnorth\tmuch", "1\tnorth\t-1", "1\t\t1")) {
            assertThat(MemberRecord.decode("10.1.0.1", text.getBytes()).isLeft())
                    .as(text)
                    .isTrue();
        }
    }
}
