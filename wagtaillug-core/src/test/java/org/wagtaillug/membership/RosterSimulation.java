package org.wagtaillug.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import org.wagtaillug.configuration.ControlLog;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.configuration.FakeLog;
import org.wagtaillug.configuration.Samples;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/** Simulates a few nodes, a log and the links between them as a sequence of events; all times are in milliseconds. */
final class RosterSimulation {
    /** The maximum deviation of the clock rate in either direction. */
    static final double MAX_CLOCK_DRIFT = 0.02;

    private static final long TICK = 100;
    private static final long TAIL_READ_WAIT = 500;

    final Random random;
    final FakeLog log = new FakeLog();
    final List<SimulatedNode> nodes = new ArrayList<>();
    final List<Vm> upstreams = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    long time;
    boolean logDown;
    boolean logUnresponsive;
    long logDelay = 5;
    double lossRate;
    long grantCount;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<VmId, Map<NodeId, Long>> lastGrants = new HashMap<>();
    private long eventCount;

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    RosterSimulation(long seed) {
        random = new Random(seed);
    }

    /** A node process on a VM. */
    final class SimulatedNode {
        final NodeId id;
        final ControlState state = new ControlState();
        final ControlLog control;
        final Members members;
        final Effects effects = new Effects();
        final double rate = 1 + (2 * random.nextDouble() - 1) * MAX_CLOCK_DRIFT;
        final long offset = random.nextInt(1_000_000);
        final List<Runnable> backlog = new ArrayList<>();
        long pausedUntil;
        boolean dead;
        boolean cutOffFromLog;
        boolean cutOffFromPeers;
        int partition;

        SimulatedNode(String vm, String domain) {
            id = new NodeId(new VmId(vm), time + 1);
            control = ControlLog.builder(id, Samples.address(domain), state).build();
            members = new Members(control, List.of());
            members.onVmList(upstreams, clock());
            after(random.nextInt((int) TICK), this::tick);
        }

        Instant clock() {
            return Instant.ofEpochMilli(offset + (long) (rate * time));
        }

        private void tick() {
            if (dead) {
                return;
            }
            after(TICK, this::tick);
            receive(() -> {
                control.onTick(clock(), effects);
                members.onTick(clock(), effects);
            });
        }

        void receive(Runnable event) {
            if (dead) {
                return;
            }
            if (time < pausedUntil) {
                backlog.add(event);
                return;
            }
            checkGrants(this);
            event.run();
            checkGrants(this);
            for (Effect effect : effects.drain()) {
                applyEffect(this, effect);
            }
        }

        void pause(long length) {
            pausedUntil = time + length;
            after(length, this::wake);
        }

        private void wake() {
            if (time < pausedUntil) {
                return;
            }
            List<Runnable> waiting = List.copyOf(backlog);
            backlog.clear();
            waiting.forEach(this::receive);
        }
    }

    SimulatedNode start(String vm, String domain) {
        SimulatedNode node = new SimulatedNode(vm, domain);
        nodes.add(node);
        return node;
    }

    void upstream(String vm, String domain) {
        upstreams.add(Samples.upstream(vm, domain));
    }

    void after(long delay, Runnable action) {
        eventCount++;
        events.add(new Event(time + delay, eventCount, action));
    }

    void run(long length) {
        long end = time + length;
        while (!events.isEmpty() && events.peek().at() <= end && violations.isEmpty()) {
            Event event = events.poll();
            time = event.at();
            event.action().run();
        }
        time = end;
    }

    private void checkGrants(SimulatedNode node) {
        for (Vm upstream : upstreams) {
            if (!node.members.mayGrant(upstream, node.clock())) {
                continue;
            }
            grantCount++;
            Map<NodeId, Long> lastGrantByNode = lastGrants.computeIfAbsent(upstream.id(), vm -> new HashMap<>());
            lastGrantByNode.put(node.id, time);
            double lifetime = Timing.MAX_GRANT_LIFETIME.toMillis() * (1 + MAX_CLOCK_DRIFT);
            for (Map.Entry<NodeId, Long> other : lastGrantByNode.entrySet()) {
                boolean valid = time - other.getValue() < lifetime;
                if (valid && !other.getKey().equals(node.id)) {
                    violations.add("at " + time + " " + node.id + " grants for " + upstream.id() + ", " + other.getKey()
                            + " did at " + other.getValue());
                }
            }
        }
    }

    private void applyEffect(SimulatedNode node, Effect effect) {
        if (effect instanceof Effect.ReadLog read) {
            read(node, read.from(), node.clock(), time + TAIL_READ_WAIT);
        }
        if (effect instanceof Effect.AppendToLog append) {
            append(node, append);
        }
        if (effect instanceof Effect.SendToPeer send) {
            send(node, send.receiver(), send.message());
        }
    }

    private long delay() {
        return 1 + random.nextInt((int) logDelay);
    }

    private void read(SimulatedNode node, long from, Instant requestedAt, long waitUntil) {
        if (logUnresponsive) {
            return;
        }
        if (logDown || node.cutOffFromLog) {
            after(delay(), () -> node.receive(() -> node.control.onLogReadFailed(node.clock(), node.effects)));
            return;
        }
        after(delay(), () -> {
            LogBatch batch = log.read(from, 20);
            if (batch.entries().isEmpty() && time < waitUntil) {
                read(node, from, requestedAt, waitUntil);
                return;
            }
            after(
                    delay(),
                    () -> node.receive(() -> node.control.onLogRead(requestedAt, batch, node.clock(), node.effects)));
        });
    }

    private void append(SimulatedNode node, Effect.AppendToLog append) {
        boolean reaches = !logDown && !node.cutOffFromLog;
        boolean answered = reaches && random.nextInt(10) > 0;
        if (reaches) {
            long extraDelay = random.nextInt(20) == 0 ? random.nextInt(8_000) : 0;
            after(delay() + extraDelay, () -> {
                long offset = log.append(append.record(), Instant.ofEpochMilli(time));
                if (answered && extraDelay == 0) {
                    after(delay(), () -> node.receive(() -> appended(node, append.append(), offset)));
                }
            });
        }
        if (!answered) {
            after(1_000, () -> node.receive(() -> appendFailed(node, append.append(), reaches)));
        }
    }

    private static void appended(SimulatedNode node, long append, long offset) {
        if (!node.control.onAppended(append, offset, node.clock(), node.effects)) {
            node.members.onAppended(append, offset, node.clock(), node.effects);
        }
    }

    private static void appendFailed(SimulatedNode node, long append, boolean mayTakeEffect) {
        if (!node.control.onAppendFailed(append, mayTakeEffect, node.clock(), node.effects)) {
            node.members.onAppendFailed(append, mayTakeEffect, node.clock(), node.effects);
        }
    }

    private void send(SimulatedNode sender, VmId receiver, PeerMessage message) {
        if (random.nextDouble() < lossRate || sender.cutOffFromPeers) {
            return;
        }
        long extraDelay = random.nextInt(50) == 0 ? random.nextInt(4_000) : 0;
        for (SimulatedNode node : List.copyOf(nodes)) {
            if (!node.id.vm().equals(receiver) || node.cutOffFromPeers || node.partition != sender.partition) {
                continue;
            }
            after(
                    1 + random.nextInt(5) + extraDelay,
                    () -> node.receive(
                            () -> node.members.onPeerMessage(sender.id, message, node.clock(), node.effects)));
        }
    }

    /** Cuts a group of nodes off from the log and from all nodes outside the group. */
    void isolate(Predicate<SimulatedNode> isolated) {
        for (SimulatedNode node : nodes) {
            node.partition = isolated.test(node) ? 1 : 0;
            node.cutOffFromLog = isolated.test(node);
        }
    }

    /** Ends all faults and runs for a while. */
    void heal(Duration length) {
        logDown = false;
        logUnresponsive = false;
        logDelay = 5;
        lossRate = 0;
        for (SimulatedNode node : nodes) {
            node.cutOffFromLog = false;
            node.cutOffFromPeers = false;
        }
        run(length.toMillis());
    }
}
