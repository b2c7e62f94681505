package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.UpstreamNotice;

/**
 * Plays requests at a fleet whose upstreams announce rate limits, their leaving and pauses in their answers, and judges
 * from outside what each upstream receives. Shares no code with the decisions of the nodes.
 */
final class AnnouncingFleet {
    /** Time that the fleet has to react to a limit that an upstream did not announce before. */
    static final Duration CONTACT = Duration.ofSeconds(3);

    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration ANSWER_TIME = Duration.ofMillis(30);
    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration NOTICE_TIME = Duration.ofMillis(500);
    private static final double EXCESS = 1.5;
    private static final int SLACK = 5;
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);
    private static final int MAX_REQUESTS_IN_PAUSE = 2;

    final ServingWorld world;
    private final Random random;
    private int nodes;
    private final Map<VmId, OptionalDouble> announced = new HashMap<>();
    private final Map<VmId, Instant> announcedSince = new HashMap<>();
    private final Map<VmId, Map<VmId, Instant>> informedAt = new HashMap<>();
    private final Map<VmId, List<Arrival>> arrivals = new HashMap<>();
    private final Map<VmId, Integer> examined = new HashMap<>();
    private final Map<VmId, Integer> received = new HashMap<>();
    private final PriorityQueue<Answer> answers = new PriorityQueue<>();
    private final Map<VmId, String> violations = new HashMap<>();
    private final Set<VmId> leaving = new HashSet<>();
    private final Map<Link, Instant> leavingToldAt = new HashMap<>();
    private final Map<VmId, Duration> pauses = new HashMap<>();
    private final Map<Link, Pause> openPauses = new HashMap<>();

    private record Arrival(VmId node, Instant at) {}

    /** A node and an upstream that has answered it. */
    private record Link(VmId node, VmId upstream) {}

    private static final class Pause {
        private final Instant countedFrom;
        private final Instant end;
        private int requests;

        private Pause(Instant countedFrom, Instant end) {
            this.countedFrom = countedFrom;
            this.end = end;
        }
    }

    private record Answer(Instant at, VmId node, SendOrder order) implements Comparable<Answer> {
        @Override
        public int compareTo(Answer other) {
            return at.compareTo(other.at);
        }
    }

    /** Starts a fleet and registers further upstreams of the pool of plain requests, so that it has this many. */
    AnnouncingFleet(int nodes, int upstreams, long seed) {
        this.nodes = nodes;
        random = new Random(seed);
        world = new ServingWorld(nodes);
        for (int number = 3; number <= upstreams; number++) {
            world.register("orders-" + number, ServingWorld.ORDERS, ServingWorld.NORTH, false, Duration.ZERO);
        }
        world.startServing();
    }

    static VmId upstream(int number) {
        return new VmId("orders-" + number);
    }

    /** Lets an upstream announce a limit from now on; empty to announce none. */
    void announce(VmId upstream, OptionalDouble limit) {
        if (limit.isEmpty()) {
            informedAt.remove(upstream);
        }
        announcedSince.put(upstream, world.now);
        announced.put(upstream, limit);
    }

    /** Lets an upstream announce from now on that it leaves. */
    void announceLeaving(VmId upstream) {
        leaving.add(upstream);
    }

    /** Lets an upstream refuse all requests and ask for a pause; a pause of zero ends this. */
    void refuse(VmId upstream, Duration pause) {
        pauses.put(upstream, pause);
    }

    /** Restarts an upstream, which announces nothing then. */
    void restartUpstream(VmId upstream) {
        announce(upstream, OptionalDouble.empty());
        leaving.remove(upstream);
        pauses.remove(upstream);
        leavingToldAt.keySet().removeIf(link -> link.upstream().equals(upstream));
        openPauses.keySet().removeIf(link -> link.upstream().equals(upstream));
        Listing listing = new Listing(
                upstream,
                world.now.toEpochMilli(),
                ServingWorld.ORDERS,
                "10.0.0.1",
                80,
                ServingWorld.NORTH,
                false,
                Duration.ZERO,
                "");
        world.write(FeedName.DIRECTORY, upstream.value(), new DirectoryItem.Listed(listing));
    }

    /** The number of nodes. */
    int size() {
        return nodes;
    }

    /** Excuses a node that restarts from what it was told before. */
    void restart(VmId node, long incarnation) {
        informedAt.values().forEach(informed -> informed.remove(node));
        leavingToldAt.keySet().removeIf(link -> link.node().equals(node));
        openPauses.keySet().removeIf(link -> link.node().equals(node));
        answers.removeIf(answer -> answer.node().equals(node));
        world.start(node, incarnation);
    }

    /** Starts further nodes. */
    void join(int joining) {
        for (int number = 0; number < joining; number++) {
            nodes++;
            world.start(ServingWorld.node(nodes), 1);
        }
    }

    /** Sends requests to random nodes at a constant rate. */
    void run(Duration time, double requestsPerSecond) {
        Instant end = world.now.plus(time);
        double due = 0;
        while (world.now.isBefore(end)) {
            due += requestsPerSecond * STEP.toMillis() / 1000;
            for (; due >= 1; due--) {
                world.request(1 + random.nextInt(nodes), "lookup");
            }
            world.run(STEP);
            observeSends();
            deliverAnswers();
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
        VmId upstream = order.upstream().id();
        arrivals.computeIfAbsent(upstream, id -> new ArrayList<>()).add(new Arrival(node, world.now));
        received.merge(upstream, 1, Integer::sum);
        answers.add(new Answer(world.now.plus(ANSWER_TIME), node, order));
        checkLimit(upstream);
        checkDeparture(new Link(node, upstream));
        checkPause(new Link(node, upstream));
    }

    private void checkDeparture(Link link) {
        Instant told = leavingToldAt.get(link);
        if (told != null && world.now.isAfter(told.plus(DRAIN_TIME))) {
            long late = Duration.between(told, world.now).toMillis();
            violations.putIfAbsent(link.upstream(), link.node() + " sent " + late + " ms after the announced leaving");
        }
    }

    private void checkPause(Link link) {
        Pause pause = openPauses.get(link);
        if (pause == null || world.now.isBefore(pause.countedFrom) || !world.now.isBefore(pause.end)) {
            return;
        }
        pause.requests++;
        if (pause.requests > MAX_REQUESTS_IN_PAUSE) {
            violations.putIfAbsent(link.upstream(), link.node() + " sent " + pause.requests + " requests in a pause");
        }
    }

    private void checkLimit(VmId upstream) {
        OptionalDouble limit = announced.getOrDefault(upstream, OptionalDouble.empty());
        Instant from = world.now.minus(WINDOW);
        if (limit.isEmpty() || from.isBefore(announcedSince.get(upstream).plus(CONTACT))) {
            return;
        }
        int counted = 0;
        for (Arrival arrival : arrivals.get(upstream)) {
            Instant informed = informedAt.getOrDefault(upstream, Map.of()).get(arrival.node());
            boolean counts = informed != null && !arrival.at().isBefore(informed.plus(NOTICE_TIME));
            counted += counts && arrival.at().isAfter(from) ? 1 : 0;
        }
        double allowed = EXCESS * limit.getAsDouble() * WINDOW.toSeconds() + SLACK;
        if (counted > allowed) {
            violations.putIfAbsent(upstream, counted + " requests in 4 s from informed nodes, allowed " + allowed);
        }
    }

    private void deliverAnswers() {
        while (!answers.isEmpty() && !answers.peek().at().isAfter(world.now)) {
            Answer answer = answers.poll();
            VmId upstream = answer.order().upstream().id();
            OptionalDouble limit = announced.getOrDefault(upstream, OptionalDouble.empty());
            if (limit.isPresent()) {
                informedAt.computeIfAbsent(upstream, id -> new HashMap<>()).putIfAbsent(answer.node(), world.now);
            }
            Link link = new Link(answer.node(), upstream);
            if (leaving.contains(upstream)) {
                leavingToldAt.putIfAbsent(link, world.now);
            }
            Duration pause = pauses.getOrDefault(upstream, Duration.ZERO);
            SendEnd end = new SendEnd.Passed();
            if (!pause.isZero()) {
                end = new SendEnd.NotRun(503);
                openPauses.putIfAbsent(link, new Pause(world.now.plus(NOTICE_TIME), world.now.plus(pause)));
            }
            UpstreamNotice notice = new UpstreamNotice(
                    limit,
                    leaving.contains(upstream),
                    pause,
                    OptionalDouble.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    false);
            world.handle(
                    answer.node(),
                    new ServingEvent.SendEnded(
                            answer.order().request(), answer.order().attempt(), end, Optional.of(notice)));
        }
        openPauses.values().removeIf(open -> !world.now.isBefore(open.end));
    }

    /** The first request against an announcement, by upstream. */
    Map<VmId, String> violations() {
        return violations;
    }

    /** The requests that an upstream has received since the last call. */
    int receivedSinceLastCall(VmId upstream) {
        Integer count = received.remove(upstream);
        return count == null ? 0 : count;
    }
}
