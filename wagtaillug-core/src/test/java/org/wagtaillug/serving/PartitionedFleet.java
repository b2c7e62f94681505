package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/**
 * Plays requests at a fleet of which some nodes lose their connections to all upstreams, and counts from outside which
 * requests are served. Shares no code with the decisions of the nodes.
 */
final class PartitionedFleet {
    static final Duration HANGING_CONNECT = Duration.ofMillis(400);
    static final Duration REFUSED_CONNECT = Duration.ofMillis(2);

    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration FIRST_ANSWER = Duration.ofMillis(30);
    private static final Duration WHOLE_ANSWER = Duration.ofMillis(80);
    private static final List<PoolId> POOLS =
            List.of(ServingWorld.ORDERS, ServingWorld.ENCODE, ServingWorld.RANK, ServingWorld.MODEL);

    final ServingWorld world;
    private final Random random;
    private final int nodes;
    private final Map<VmId, Integer> examined = new HashMap<>();
    private final Map<RequestId, FirstTry> requests = new HashMap<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private final Map<Long, TunnelRequest> tunnels = new HashMap<>();
    private long lastTunnel;

    private record TunnelRequest(VmId node, SendOrder order) {}

    private static final class FirstTry {
        private final VmId node;
        private final Instant sentAt;
        private boolean served;

        private FirstTry(VmId node, Instant sentAt) {
            this.node = node;
            this.sentAt = sentAt;
        }
    }

    private record Delivery(Instant at, VmId node, ServingEvent event) implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            return at.compareTo(other.at);
        }
    }

    /**
     * The requests sent to some nodes in a time.
     *
     * @param sent how many were sent
     * @param served how many of them were answered completely
     */
    record Tally(int sent, int served) {
        int failed() {
            return sent - served;
        }

        double share() {
            return sent == 0 ? 1 : (double) served / sent;
        }
    }

    /** Starts a fleet with so many upstreams in each pool. */
    PartitionedFleet(int nodes, int upstreams, long seed) {
        this.nodes = nodes;
        random = new Random(seed);
        world = new ServingWorld(nodes);
        for (PoolId pool : POOLS) {
            for (int number = 3; number <= upstreams; number++) {
                world.register(pool + "-" + number, pool, ServingWorld.NORTH, false, Duration.ZERO);
            }
        }
        world.startServing();
    }

    /** Cuts nodes off from all upstreams; an attempt to connect fails after the given time. */
    void partition(Set<VmId> cut, Duration connectFailure) {
        world.withoutUpstreams.clear();
        cut.forEach(node -> world.withoutUpstreams.put(node, connectFailure));
    }

    /** Ends the partition. */
    void heal() {
        world.withoutUpstreams.clear();
    }

    /** Some of the nodes, chosen at random. */
    Set<VmId> randomNodes(int count) {
        Set<VmId> chosen = new HashSet<>();
        while (chosen.size() < count) {
            chosen.add(ServingWorld.node(1 + random.nextInt(nodes)));
        }
        return chosen;
    }

    /** Sends requests to random nodes at a constant rate. */
    void run(Duration time, double requestsPerSecond) {
        Instant end = world.now.plus(time);
        double due = 0;
        while (world.now.isBefore(end)) {
            due += requestsPerSecond * STEP.toMillis() / 1000;
            for (; due >= 1; due--) {
                sendRequest(1 + random.nextInt(nodes));
            }
            world.run(STEP);
            observeEffects();
            deliver();
        }
    }

    private void sendRequest(int node) {
        RequestId id =
                switch (random.nextInt(4)) {
                    case 0 -> world.request(node, "lookup");
                    case 1 -> world.request(node, "confirm");
                    case 2 -> world.request(node, "draft", 2);
                    default -> world.request(node, "question", 1, 1);
                };
        requests.put(id, new FirstTry(ServingWorld.node(node), world.now));
    }

    private void observeEffects() {
        world.effectsByNode.forEach((node, effects) -> {
            for (int next = examined.getOrDefault(node, 0); next < effects.size(); next++) {
                switch (effects.get(next)) {
                    case ServingEffect.Send send -> onSend(node, send.order());
                    case ServingEffect.OpenTunnel open -> onTunnelOpened(node, open);
                    case ServingEffect.RefuseTunnel refuse -> onTunnelRefused(refuse);
                    case ServingEffect.Finished finished -> onFinished(finished);
                    default -> {
                        // Only attempts and ends of requests matter here.
                    }
                }
            }
            examined.put(node, effects.size());
        });
    }

    private void onSend(VmId node, SendOrder order) {
        switch (order.path()) {
            case UpstreamPath.Direct ignored -> connect(node, node, order);
            case UpstreamPath.ThroughPeer through -> requestTunnel(node, through.peer(), order);
        }
    }

    private void requestTunnel(VmId node, VmId peer, SendOrder order) {
        lastTunnel++;
        tunnels.put(lastTunnel, new TunnelRequest(node, order));
        deliveries.add(new Delivery(
                world.now,
                peer,
                new ServingEvent.TunnelRequested(
                        lastTunnel, order.upstream().id(), order.upstream().incarnation())));
    }

    private void onTunnelOpened(VmId peer, ServingEffect.OpenTunnel open) {
        TunnelRequest request = tunnels.remove(open.number());
        world.connect(peer, open.upstream().id());
        connect(peer, request.node(), request.order());
    }

    private void onTunnelRefused(ServingEffect.RefuseTunnel refuse) {
        TunnelRequest request = tunnels.remove(refuse.number());
        end(request.node(), request.order(), new SendEnd.NoPath("refused"), Duration.ZERO);
    }

    /** Lets a node connect to the upstream of an attempt, for itself or for the node that has requested a tunnel. */
    private void connect(VmId connecting, VmId node, SendOrder order) {
        if (world.withoutUpstreams.containsKey(connecting)) {
            end(node, order, failedConnection(), world.withoutUpstreams.get(connecting));
            return;
        }
        answer(node, order);
    }

    private SendEnd failedConnection() {
        return world.resetsAfterConnect
                ? new SendEnd.Broken("reset", Optional.empty())
                : new SendEnd.Unsent("connect timeout");
    }

    private void end(VmId node, SendOrder order, SendEnd end, Duration after) {
        ServingEvent ended = new ServingEvent.SendEnded(order.request(), order.attempt(), end);
        deliveries.add(new Delivery(world.now.plus(after), node, ended));
    }

    private void answer(VmId node, SendOrder order) {
        deliveries.add(new Delivery(
                world.now.plus(FIRST_ANSWER), node, new ServingEvent.AnswerStarted(order.request(), order.attempt())));
        end(node, order, new SendEnd.Passed(), WHOLE_ANSWER);
    }

    private void onFinished(ServingEffect.Finished finished) {
        FirstTry request = requests.get(finished.request());
        if (request != null) {
            request.served = finished.outcome() == ServingEffect.Outcome.PASSED;
        }
    }

    private void deliver() {
        while (!deliveries.isEmpty() && !deliveries.peek().at().isAfter(world.now)) {
            Delivery delivery = deliveries.poll();
            world.handle(delivery.node(), delivery.event());
        }
    }

    /** The requests sent to the given nodes, or to all others, in a time. */
    Tally tally(Set<VmId> at, boolean others, Instant from, Instant to) {
        List<FirstTry> counted = new ArrayList<>();
        for (FirstTry request : requests.values()) {
            boolean within = !request.sentAt.isBefore(from) && request.sentAt.isBefore(to);
            if (within && at.contains(request.node) != others) {
                counted.add(request);
            }
        }
        int served = 0;
        for (FirstTry request : counted) {
            served += request.served ? 1 : 0;
        }
        return new Tally(counted.size(), served);
    }
}
