package org.wagtaillug.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.ContentionReport;
import org.wagtaillug.message.ServingMessage.Heartbeat;
import org.wagtaillug.message.ServingMessage.Paths;
import org.wagtaillug.quarantine.QuarantineReport;

class PeersTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration TICK = Duration.ofMillis(20);
    private static final DomainId DOMAIN = new DomainId("north");
    private static final List<String> DUTIES = List.of("encode", "rank", "fetch");

    private final Map<VmId, Peers> nodes = new HashMap<>();
    private final Set<VmId> stopped = new HashSet<>();
    private final List<VmId> ids = new ArrayList<>();
    private Instant now = START;

    /** Starts all nodes at once; each has read the roster, which the previous run left in the store. */
    private void start(int count) {
        for (int number = 0; number < count; number++) {
            ids.add(new VmId("node-" + number));
        }
        ids.forEach(this::start);
    }

    private void start(VmId id) {
        Roster roster = new Roster(id);
        ids.forEach(member -> roster.add(new Member(member, DOMAIN, 1), true, now));
        Map<String, Duty> duties = new HashMap<>();
        DUTIES.forEach(duty -> duties.put(duty, Duty.of(roster.ranking(duty))));
        Peers peers = new Peers(id, List.of(), roster);
        peers.setDuties(duties);
        nodes.put(id, peers);
    }

    /** Runs one tick; heartbeats arrive before the next one. Connections to stopped nodes fail immediately. */
    private int tick() {
        int sent = 0;
        List<Runnable> arrivals = new ArrayList<>();
        for (VmId id : ids) {
            if (stopped.contains(id)) {
                continue;
            }
            Peers peers = nodes.get(id);
            peers.watch(true, Set.of(), true, now);
            for (VmId peer : peers.heartbeatsDue(now)) {
                sent++;
                arrivals.add(() -> deliver(id, peer, false));
            }
        }
        arrivals.forEach(Runnable::run);
        now = now.plus(TICK);
        return sent;
    }

    private void deliver(VmId sender, VmId receiver, boolean reply) {
        if (stopped.contains(receiver)) {
            nodes.get(sender).onDisconnected(receiver, now);
            return;
        }
        Heartbeat heartbeat = new Heartbeat(
                reply,
                true,
                false,
                false,
                Map.of(),
                List.of(),
                List.of(),
                List.of(),
                Paths.ALL_REACHABLE,
                true,
                QuarantineReport.UNSUPPORTED,
                ContentionReport.UNSUPPORTED);
        nodes.get(receiver).onHeartbeat(new NodeId(sender, 1), heartbeat, now);
        if (!reply && !nodes.get(receiver).watches(sender)) {
            deliver(receiver, sender, true);
        }
    }

    private void run(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            tick();
        }
    }

    private Set<VmId> holders(String duty) {
        Set<VmId> holders = new HashSet<>();
        for (VmId id : ids) {
            if (!stopped.contains(id)) {
                holders.add(nodes.get(id).dutyHolder(duty, true, now));
            }
        }
        return holders;
    }

    /** Guards against several schedulers for one pool after a restart of all nodes. */
    @Test
    void nodesThatStartAtOnceAgreeOnADutyWithinAQuarterOfASecond() {
        start(95);
        run(Duration.ofMillis(240));
        DUTIES.forEach(duty -> assertThat(holders(duty)).hasSize(1));
    }

    /** Guards against all-to-all heartbeats, whose number grows quadratically with the size of the fleet. */
    @Test
    void theHeartbeatsOfANodeDoNotGrowWithTheFleet() {
        start(95);
        run(Duration.ofSeconds(15));
        int sent = 0;
        for (int count = 0; count < 200; count++) {
            sent += tick();
        }
        double perNodeAndSecond = sent / 95.0 / 4;
        assertThat(perNodeAndSecond).isLessThan(DUTIES.size() * 2);
    }

    /** Guards against a pool without a scheduler after its holder was killed. */
    @Test
    void aDutyMovesWithinASecondWhenItsHolderIsKilled() {
        start(95);
        run(Duration.ofSeconds(3));
        VmId killed = holders("encode").iterator().next();
        stopped.add(killed);
        ids.forEach(id -> nodes.get(id).onDisconnected(killed, now));
        run(Duration.ofSeconds(1));
        assertThat(holders("encode")).hasSize(1).doesNotContain(killed);
    }

    /** Guards against nodes that keep using a substitute after the first candidate has returned. */
    @Test
    void aDutyReturnsToItsFirstCandidate() {
        start(40);
        run(Duration.ofSeconds(3));
        VmId first = holders("rank").iterator().next();
        stopped.add(first);
        ids.forEach(id -> nodes.get(id).onDisconnected(first, now));
        run(Duration.ofSeconds(2));
        stopped.remove(first);
        start(first);
        run(Duration.ofSeconds(2));
        assertThat(holders("rank")).containsExactly(first);
    }

    /** Guards against a node that finds no scheduler because all candidates that it watches are permanently down. */
    @Test
    void aDutyIsHeldWhenHalfOfTheFleetIsDown() {
        start(60);
        run(Duration.ofSeconds(2));
        for (int number = 0; number < 60; number += 2) {
            VmId lost = ids.get(number);
            stopped.add(lost);
            ids.forEach(id -> nodes.get(id).onDisconnected(lost, now));
        }
        run(Duration.ofSeconds(5));
        DUTIES.forEach(duty -> assertThat(holders(duty)).hasSize(1));
        run(Duration.ofSeconds(15));
        DUTIES.forEach(duty -> assertThat(holders(duty)).hasSize(1));
    }
}
