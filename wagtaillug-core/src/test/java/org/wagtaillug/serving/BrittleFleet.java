package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.UpstreamNotice;

/**
 * Plays requests at a fleet whose upstreams become brittle, and judges from outside how often they fail. Shares no code
 * with the decisions of the nodes.
 */
final class BrittleFleet {
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration RECOVERY = Duration.ofSeconds(3);

    final ServingWorld world;
    private final Random random;
    private final int nodes;
    private final int slots;
    private final Duration work;
    private final Map<VmId, Server> servers = new HashMap<>();
    private final Map<VmId, Integer> examined = new HashMap<>();
    private final PriorityQueue<End> ends = new PriorityQueue<>();
    private int waitingRoom = 4;
    private Optional<Double> maxRejections = Optional.empty();
    private int failures;
    private int sent;
    private int served;

    private static final class Server {
        private final Deque<Instant> rejections = new ArrayDeque<>();
        private int present;
        private Instant downUntil = Instant.EPOCH;
    }

    private record End(Instant at, VmId node, SendOrder order, SendEnd end) implements Comparable<End> {
        @Override
        public int compareTo(End other) {
            return at.compareTo(other.at);
        }
    }

    /** Starts a fleet with so many upstreams of plain requests, each with so many slots. */
    BrittleFleet(int nodes, int upstreams, int slots, Duration work, long seed) {
        this.nodes = nodes;
        this.slots = slots;
        this.work = work;
        random = new Random(seed);
        world = new ServingWorld(nodes);
        world.startServing();
        for (int number = 1; number <= upstreams; number++) {
            world.register("orders-" + number, ServingWorld.ORDERS, slots);
            servers.put(new VmId("orders-" + number), new Server());
        }
        world.run(Duration.ofSeconds(4));
    }

    /** Lets the upstreams announce from now on how many rejections a second they can bear. */
    void announce(double rejections) {
        maxRejections = Optional.of(rejections);
    }

    /** Lets fewer requests wait, so that upstreams reject and may fail. */
    void shrink() {
        waitingRoom = 0;
        failures = 0;
        sent = 0;
        served = 0;
    }

    /** How often upstreams have failed since the room shrank. */
    int failures() {
        return failures;
    }

    /** The part of the requests since the room shrank that were answered. */
    double servedShare() {
        return (double) served / Math.max(1, sent);
    }

    /** Sends requests to random nodes at a constant rate. */
    void run(Duration time, double requestsPerSecond) {
        Instant end = world.now.plus(time);
        double due = 0;
        while (world.now.isBefore(end)) {
            due += requestsPerSecond * STEP.toMillis() / 1000;
            for (; due >= 1; due--) {
                sent++;
                world.request(1 + random.nextInt(nodes), "lookup");
            }
            world.run(STEP);
            observeSends();
            deliver();
        }
    }

    private void observeSends() {
        world.effectsByNode.forEach((node, effects) -> {
            for (int next = examined.getOrDefault(node, 0); next < effects.size(); next++) {
                if (effects.get(next) instanceof ServingEffect.Send send) {
                    onSend(node, send.order());
                }
            }
            examined.put(node, effects.size());
        });
    }

    private void onSend(VmId node, SendOrder order) {
        Server server = servers.get(order.upstream().id());
        if (world.now.isBefore(server.downUntil)) {
            ends.add(new End(world.now, node, order, new SendEnd.Unsent("connection refused")));
            return;
        }
        if (server.present >= slots + waitingRoom) {
            ends.add(new End(world.now, node, order, new SendEnd.NotRun(503)));
            onRejected(server);
            return;
        }
        int ahead = Math.max(0, server.present - slots + 1);
        server.present++;
        ends.add(new End(world.now.plus(work.multipliedBy(1L + ahead)), node, order, new SendEnd.Passed()));
    }

    private void onRejected(Server server) {
        if (maxRejections.isEmpty()) {
            return;
        }
        server.rejections.add(world.now);
        while (!server.rejections.isEmpty()
                && server.rejections.getFirst().plus(SECOND).isBefore(world.now)) {
            server.rejections.removeFirst();
        }
        if (server.rejections.size() > maxRejections.get()) {
            failures++;
            server.rejections.clear();
            server.downUntil = world.now.plus(RECOVERY);
        }
    }

    private void deliver() {
        List<End> due = new ArrayList<>();
        while (!ends.isEmpty() && !ends.peek().at().isAfter(world.now)) {
            due.add(ends.poll());
        }
        for (End end : due) {
            Server server = servers.get(end.order().upstream().id());
            boolean answered = end.end() instanceof SendEnd.Passed;
            server.present -= answered ? 1 : 0;
            served += answered ? 1 : 0;
            UpstreamNotice.Builder notice = UpstreamNotice.builder();
            maxRejections.ifPresent(notice::maxRejections);
            boolean heard = !(end.end() instanceof SendEnd.Unsent);
            world.handle(
                    end.node(),
                    new ServingEvent.SendEnded(
                            end.order().request(),
                            end.order().attempt(),
                            end.end(),
                            heard ? Optional.of(notice.build()) : Optional.empty()));
        }
    }
}
