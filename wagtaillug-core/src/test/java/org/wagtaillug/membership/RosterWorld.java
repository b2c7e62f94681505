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

/** A few nodes, a log and the links between them, one event after the other; all times in milliseconds. */
final class RosterWorld {
    /** Clocks run this much too fast or too slow at most. */
    static final double DRIFT = 0.02;

    private static final long TICK = 100;
    private static final long TAIL_WAIT = 500;

    final Random random;
    final FakeLog log = new FakeLog();
    final List<Machine> machines = new ArrayList<>();
    final List<Vm> upstreams = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    long time;
    boolean logDown;
    boolean logSilent;
    long logDelay = 5;
    double lost;
    long grantsSeen;

    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final Map<VmId, Map<NodeId, Long>> granted = new HashMap<>();
    private long lastStep;

    private record Step(long at, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    RosterWorld(long seed) {
        random = new Random(seed);
    }

    /** One run of the daemon on a VM. */
    final class Machine {
        final NodeId id;
        final ControlState state = new ControlState();
        final ControlLog control;
        final Members members;
        final Effects effects = new Effects();
        final double rate = 1 + (2 * random.nextDouble() - 1) * DRIFT;
        final long offset = random.nextInt(1_000_000);
        final List<Runnable> backlog = new ArrayList<>();
        long pausedUntil;
        boolean dead;
        boolean cutFromLog;
        boolean cutFromPeers;
        int side;

        Machine(String vm, String domain) {
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
            noteGrants(this);
            event.run();
            noteGrants(this);
            for (Effect effect : effects.drain()) {
                carryOut(this, effect);
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

    Machine start(String vm, String domain) {
        Machine machine = new Machine(vm, domain);
        machines.add(machine);
        return machine;
    }

    void upstream(String vm, String domain) {
        upstreams.add(Samples.upstream(vm, domain));
    }

    void after(long delay, Runnable action) {
        lastStep++;
        steps.add(new Step(time + delay, lastStep, action));
    }

    void run(long length) {
        long end = time + length;
        while (!steps.isEmpty() && steps.peek().at() <= end && violations.isEmpty()) {
            Step step = steps.poll();
            time = step.at();
            step.action().run();
        }
        time = end;
    }

    private void noteGrants(Machine machine) {
        for (Vm upstream : upstreams) {
            if (!machine.members.mayGrant(upstream, machine.clock())) {
                continue;
            }
            grantsSeen++;
            Map<NodeId, Long> last = granted.computeIfAbsent(upstream.id(), vm -> new HashMap<>());
            last.put(machine.id, time);
            double lifetime = Timing.LONGEST_GRANT.toMillis() * (1 + DRIFT);
            for (Map.Entry<NodeId, Long> other : last.entrySet()) {
                boolean alive = time - other.getValue() < lifetime;
                if (alive && !other.getKey().equals(machine.id)) {
                    violations.add("at " + time + " " + machine.id + " grants for " + upstream.id() + ", "
                            + other.getKey() + " did at " + other.getValue());
                }
            }
        }
    }

    private void carryOut(Machine machine, Effect effect) {
        if (effect instanceof Effect.ReadLog read) {
            read(machine, read.from(), machine.clock(), time + TAIL_WAIT);
        }
        if (effect instanceof Effect.AppendToLog append) {
            append(machine, append);
        }
        if (effect instanceof Effect.SendToPeer send) {
            send(machine, send.receiver(), send.message());
        }
    }

    private long delay() {
        return 1 + random.nextInt((int) logDelay);
    }

    private void read(Machine machine, long from, Instant askedAt, long waitUntil) {
        if (logSilent) {
            return;
        }
        if (logDown || machine.cutFromLog) {
            after(
                    delay(),
                    () -> machine.receive(() -> machine.control.onLogReadFailed(machine.clock(), machine.effects)));
            return;
        }
        after(delay(), () -> {
            LogBatch batch = log.read(from, 20);
            if (batch.entries().isEmpty() && time < waitUntil) {
                read(machine, from, askedAt, waitUntil);
                return;
            }
            after(
                    delay(),
                    () -> machine.receive(
                            () -> machine.control.onLogRead(askedAt, batch, machine.clock(), machine.effects)));
        });
    }

    private void append(Machine machine, Effect.AppendToLog append) {
        boolean reaches = !logDown && !machine.cutFromLog;
        boolean answered = reaches && random.nextInt(10) > 0;
        if (reaches) {
            long late = random.nextInt(20) == 0 ? random.nextInt(8_000) : 0;
            after(delay() + late, () -> {
                long offset = log.append(append.record(), Instant.ofEpochMilli(time));
                if (answered && late == 0) {
                    after(delay(), () -> machine.receive(() -> appended(machine, append.append(), offset)));
                }
            });
        }
        if (!answered) {
            after(1_000, () -> machine.receive(() -> appendFailed(machine, append.append(), reaches)));
        }
    }

    private static void appended(Machine machine, long append, long offset) {
        if (!machine.control.onAppended(append, offset, machine.clock(), machine.effects)) {
            machine.members.onAppended(append, offset, machine.clock(), machine.effects);
        }
    }

    private static void appendFailed(Machine machine, long append, boolean mayTakeEffect) {
        if (!machine.control.onAppendFailed(append, mayTakeEffect, machine.clock(), machine.effects)) {
            machine.members.onAppendFailed(append, mayTakeEffect, machine.clock(), machine.effects);
        }
    }

    private void send(Machine sender, VmId receiver, PeerMessage message) {
        if (random.nextDouble() < lost || sender.cutFromPeers) {
            return;
        }
        long late = random.nextInt(50) == 0 ? random.nextInt(4_000) : 0;
        for (Machine machine : List.copyOf(machines)) {
            if (!machine.id.vm().equals(receiver) || machine.cutFromPeers || machine.side != sender.side) {
                continue;
            }
            after(
                    1 + random.nextInt(5) + late,
                    () -> machine.receive(
                            () -> machine.members.onPeerMessage(sender.id, message, machine.clock(), machine.effects)));
        }
    }

    /** Cuts some of the nodes off from the log and from all the others but themselves. */
    void cut(Predicate<Machine> gone) {
        for (Machine machine : machines) {
            machine.side = gone.test(machine) ? 1 : 0;
            machine.cutFromLog = gone.test(machine);
        }
    }

    /** Runs until nothing is amiss for a while. */
    void heal(Duration length) {
        logDown = false;
        logSilent = false;
        logDelay = 5;
        lost = 0;
        for (Machine machine : machines) {
            machine.cutFromLog = false;
            machine.cutFromPeers = false;
        }
        run(length.toMillis());
    }
}
