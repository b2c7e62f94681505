package org.wagtaillug.grant;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Timing;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Simulates a few nodes and one upstream that counts the requests in flight, in simulated milliseconds; each run is
 * determined by its seed.
 */
final class GrantSimulation {
    static final PoolId POOL = new PoolId("generate");
    static final VmId UPSTREAM = new VmId("engine-1");
    private static final Instant EPOCH = Instant.ofEpochSecond(1_000_000);
    private static final int[] MAX_DELAYS = {300, 1000, 12_000};
    private static final int MAX_WORK = 9_500;
    private static final int CANCELLED_PERCENT = 25;
    private static final int MAX_MILLIS_TO_CANCELLATION = 200;
    private static final int MAX_MILLIS_TO_NOTICE = 900;

    final Random random;
    final FakeConfiguration configuration;
    final List<Member> members = new ArrayList<>();
    final Upstream upstream;
    boolean faults;
    private int silentRequestInterval = 20;
    private Optional<Random> cancellations = Optional.empty();
    /** The first violation of the cold limit; empty if there is none. */
    String violation = "";
    /**
     * Starts above the cold limit after a restart of a warm upstream, by holders that did not know of the restart yet.
     */
    int startsBeforeRestartNotice;

    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private final Vm vm =
            new Vm(UPSTREAM, Optional.of(POOL), new DomainId("a"), new RegionId("r"), "127.0.0.1", 1, false);
    private long now;
    private long scheduled;
    private int ownerIndex;
    private long fencingNumber = 1;

    private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    GrantSimulation(long seed, FakeConfiguration configuration, int nodes, boolean faults) {
        this.random = new Random(seed);
        this.upstream = new Upstream();
        this.configuration = configuration;
        this.faults = faults;
        for (int i = 0; i < nodes; i++) {
            members.add(new Member("node-" + i, 1));
        }
        refreshRosters();
        for (Member member : members) {
            member.view.owner = Optional.of(members.get(0).id);
        }
        members.get(0).grantsFrom = 0;
        for (Member member : members) {
            member.boot();
        }
        repeat(100, upstream::recordReport);
    }

    void at(long time, Runnable action) {
        queue.add(new Scheduled(time, scheduled++, action));
    }

    private void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    private void repeat(int period, Runnable action) {
        after(period, () -> {
            action.run();
            repeat(period, action);
        });
    }

    void runUntil(long end) {
        while (!queue.isEmpty() && queue.peek().at() <= end && violation.isEmpty()) {
            Scheduled next = queue.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
    }

    /**
     * Schedules pauses, crashes, restarts and changes of owner at random times.
     *
     * @param kinds on average five out of this many seconds have a fault
     */
    void scheduleFaults(int seconds, int kinds) {
        silentRequestInterval = 4 * kinds;
        for (int second = 1; second < seconds; second++) {
            long time = second * 1000L + random.nextInt(1000);
            int kind = random.nextInt(kinds);
            switch (kind) {
                case 0, 1 -> at(time, () -> anyMember().pause(random.nextInt(15_000)));
                case 2 -> at(time, () -> anyMember().die());
                case 3 -> at(time, upstream::restart);
                case 4 -> at(time, this::changeOwner);
                default -> {
                    // no fault
                }
            }
        }
    }

    /** Lets nodes cancel some of their attempts, which the upstream notices later. Does not change other draws. */
    void cancelAttempts(long seed) {
        cancellations = Optional.of(new Random(seed));
    }

    private Member anyMember() {
        return members.get(random.nextInt(members.size()));
    }

    /** The roster names another owner; the previous one learns of it late, the new one waits for the handover. */
    private void changeOwner() {
        members.get(ownerIndex).grantsUntil =
                Math.min(members.get(ownerIndex).grantsUntil, now + random.nextInt((int) Timing.LEASE.toMillis()));
        do {
            ownerIndex = (ownerIndex + 1) % members.size();
        } while (members.get(ownerIndex).dead && random.nextInt(100) > 0);
        fencingNumber++;
        long offset = fencingNumber;
        Member owner = members.get(ownerIndex);
        owner.grantsFrom = now + Timing.HANDOVER.toMillis();
        owner.grantsUntil = Long.MAX_VALUE;
        owner.view.fencingNumber = fencingNumber;
        NodeId id = owner.id;
        for (Member member : members) {
            after(member == owner ? 0 : random.nextInt(2000), () -> member.applyRosterRecord(offset, id));
        }
    }

    private void refreshRosters() {
        for (Member member : members) {
            member.view.members.clear();
            for (Member other : members) {
                member.view.members.add(other.id);
            }
        }
    }

    /** A VM and the node process that runs on it now. */
    final class Member {
        final String name;
        NodeId id;
        FakeOwnership view;
        GrantOwner owner;
        GrantHolder holder;
        int wanted;
        int running;
        long served;
        private final Effects effects = new Effects();
        private final Deque<Runnable> deferred = new ArrayDeque<>();
        private final long clockOffset = random.nextInt(100_000);
        private final double clockRate = 1 + (random.nextInt(21) - 10) / 1000.0;
        private long rosterOffset;
        private long pausedUntil;
        private boolean dead;
        private long grantsFrom = Long.MAX_VALUE;
        private long grantsUntil = Long.MAX_VALUE;

        Member(String name, long incarnation) {
            this.name = name;
            startIncarnation(incarnation);
        }

        private void startIncarnation(long incarnation) {
            id = new NodeId(new VmId(name), incarnation);
            view = new FakeOwnership(id);
            view.grantAllowed = () -> now >= grantsFrom && now < grantsUntil;
            owner = new GrantOwner(view, configuration);
            holder = new GrantHolder(view, configuration, owner);
        }

        /** Applies a roster record; an outdated one is ignored. */
        private void applyRosterRecord(long offset, NodeId named) {
            if (offset > rosterOffset) {
                rosterOffset = offset;
                view.owner = Optional.of(named);
            }
        }

        Instant clock() {
            return EPOCH.plusMillis(clockOffset + (long) (now * clockRate));
        }

        private void boot() {
            running = 0;
            owner.onVmList(List.of(vm), clock());
            holder.onVmList(List.of(vm), clock());
            GrantHolder current = holder;
            after(random.nextInt(50), () -> tick(current));
        }

        private void tick(GrantHolder of) {
            if (holder != of) {
                return;
            }
            execute(() -> {
                owner.onTick(clock(), effects);
                holder.onTick(clock(), effects);
            });
            after(now < pausedUntil ? pausedUntil - now : 50, () -> tick(of));
        }

        /** Runs an action at this node now, or when its pause ends, or never if it is dead. */
        private void execute(Runnable action) {
            if (dead) {
                return;
            }
            if (now < pausedUntil) {
                deferred.add(action);
                return;
            }
            action.run();
            startAttempts();
            applyEffects();
        }

        private void startAttempts() {
            holder.setDemand(POOL, wanted);
            while (running < wanted && holder.tryStart(UPSTREAM, clock())) {
                running++;
                GrantView state = holder.view(UPSTREAM, clock()).get();
                Optional<Instant> believedWarm = state.cold()
                        ? Optional.empty()
                        : holder.report(UPSTREAM).map(LoadReport::startedAt);
                Instant sendDeadline = holder.sendDeadline(UPSTREAM, clock());
                Attempt attempt = new Attempt(this, holder, believedWarm, state.fixedShare());
                after(random.nextInt(10), () -> send(attempt, sendDeadline));
            }
        }

        private void send(Attempt attempt, Instant sendDeadline) {
            if (dead || holder != attempt.holder()) {
                return;
            }
            if (now < pausedUntil) {
                deferred.add(() -> send(attempt, sendDeadline));
                return;
            }
            if (!clock().isBefore(sendDeadline)) {
                execute(() -> end(attempt, UpstreamOutcome.CANCELLED));
                return;
            }
            after(1 + random.nextInt(5), () -> upstream.arrive(attempt));
        }

        private void end(Attempt attempt, UpstreamOutcome outcome) {
            if (holder != attempt.holder()) {
                return;
            }
            running--;
            if (outcome == UpstreamOutcome.SUCCEEDED) {
                served++;
            }
            holder.onFinished(UPSTREAM, outcome, clock());
        }

        private void applyEffects() {
            for (Effect effect : effects.drain()) {
                if (effect instanceof Effect.RequestLoad) {
                    upstream.requestLoad(this);
                }
                if (effect instanceof Effect.SendToPeer message) {
                    transmit(this, message);
                }
            }
        }

        private void receive(NodeId sender, PeerMessage message) {
            execute(() -> {
                if (message instanceof PeerMessage.GrantRequest request) {
                    owner.onGrantRequest(sender, request, clock(), effects);
                }
                if (message instanceof PeerMessage.GrantReply reply) {
                    holder.onReply(sender, reply, clock(), effects);
                }
            });
        }

        void pause(int length) {
            pausedUntil = Math.max(pausedUntil, now + length);
            at(pausedUntil, this::wake);
        }

        private void wake() {
            while (now >= pausedUntil && !deferred.isEmpty()) {
                execute(deferred.poll());
            }
        }

        /**
         * Crashes; a new node process starts on the same VM later. If the node was the owner, ownership moves to
         * another one.
         */
        private void die() {
            dead = true;
            deferred.clear();
            boolean owned = members.get(ownerIndex) == this;
            after(1000 + random.nextInt(4000), () -> {
                if (!dead) {
                    return;
                }
                dead = false;
                pausedUntil = 0;
                Optional<NodeId> named = view.owner;
                startIncarnation(id.incarnation() + 1);
                view.owner = named;
                refreshRosters();
                boot();
            });
            if (owned) {
                after(500 + random.nextInt(3000), GrantSimulation.this::changeOwner);
            }
        }
    }

    /** The network between nodes: loses, duplicates, delays and reorders messages. */
    private void transmit(Member sender, Effect.SendToPeer message) {
        if (faults && random.nextInt(100) < 10) {
            return;
        }
        NodeId from = sender.id;
        int copies = faults && random.nextInt(100) < 5 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean late = faults && random.nextInt(100) < 5;
            long delay = 1 + random.nextInt(late ? MAX_DELAYS[random.nextInt(MAX_DELAYS.length)] : 5);
            after(delay, () -> {
                for (Member member : members) {
                    if (member.id.vm().equals(message.receiver())) {
                        member.receive(from, message.message());
                    }
                }
            });
        }
    }

    /**
     * An attempt at the upstream.
     *
     * @param believedWarm the start of the upstream process that the holder considered warm; empty if it considered it
     *      cold
     */
    record Attempt(Member member, GrantHolder holder, Optional<Instant> believedWarm, boolean fixedShare) {}

    /** Counts the requests in flight; becomes warm after enough successes of one process. */
    final class Upstream {
        private int process = 1;
        private long startedAtMillis;
        private long downUntil;
        private int successes;
        private final int reportLag = 1 + random.nextInt(28);
        private int maxInFlight;
        private final List<Attempt> inFlight = new ArrayList<>();
        private final Set<Attempt> abandoned = Collections.newSetFromMap(new IdentityHashMap<>());
        private final Deque<LoadReport> reportHistory = new ArrayDeque<>();

        Instant startedAt() {
            return Instant.ofEpochMilli(startedAtMillis);
        }

        int maxInFlight() {
            return maxInFlight;
        }

        private PoolContract contract() {
            return configuration.pool(POOL);
        }

        private boolean cold() {
            return successes < contract().warmAfter();
        }

        private void arrive(Attempt attempt) {
            if (now < downUntil) {
                after(2, () -> attempt.member()
                        .execute(() -> attempt.member().end(attempt, UpstreamOutcome.OVERLOADED)));
                return;
            }
            inFlight.add(attempt);
            maxInFlight = Math.max(maxInFlight, inFlight.size());
            check(attempt);
            int arrivalProcess = process;
            cancellations.ifPresent(draws -> maybeCancel(attempt, draws));
            int work = 20 + random.nextInt(faults && random.nextInt(4) == 0 ? MAX_WORK - 20 : 400);
            boolean silent = faults && random.nextInt(silentRequestInterval) == 0;
            after(work, () -> finish(attempt, arrivalProcess, silent));
            if (silent) {
                after(2000, () -> attempt.member().execute(() -> {
                    if (!abandoned.contains(attempt)) {
                        attempt.member().end(attempt, UpstreamOutcome.FAILED);
                    }
                }));
            }
        }

        private void check(Attempt newest) {
            if (!cold()) {
                return;
            }
            int counted = 0;
            for (Attempt each : inFlight) {
                counted += each.fixedShare() ? 0 : 1;
            }
            if (counted <= contract().coldLimit()) {
                return;
            }
            // Sent based on the state of a process that has ended, which the holder cannot know yet. What the owner has
            // granted since must leave room for it.
            boolean restartUnknown = newest.believedWarm().isPresent()
                    && !newest.believedWarm().get().equals(startedAt());
            if (restartUnknown) {
                startsBeforeRestartNotice++;
                return;
            }
            violation = counted + " in flight at a cold upstream with limit "
                    + contract().coldLimit() + " at " + now + " ms, last request from " + newest.member().name
                    + ", owner " + members.get(ownerIndex).name;
        }

        private void maybeCancel(Attempt attempt, Random draws) {
            int cancelledAfter = draws.nextInt(MAX_MILLIS_TO_CANCELLATION);
            int noticedAfter = draws.nextInt(MAX_MILLIS_TO_NOTICE);
            if (draws.nextInt(100) >= CANCELLED_PERCENT) {
                return;
            }
            after(cancelledAfter, () -> attempt.member().execute(() -> {
                if (!isInFlight(attempt)) {
                    return;
                }
                abandoned.add(attempt);
                attempt.member().end(attempt, UpstreamOutcome.ABANDONED);
                after(noticedAfter, () -> remove(attempt));
            }));
        }

        private boolean isInFlight(Attempt attempt) {
            return inFlight.stream().anyMatch(each -> each == attempt);
        }

        private boolean remove(Attempt attempt) {
            return inFlight.removeIf(each -> each == attempt);
        }

        private void finish(Attempt attempt, int arrivalProcess, boolean silent) {
            if (arrivalProcess != process || !remove(attempt)) {
                return;
            }
            successes++;
            if (!silent && !abandoned.contains(attempt)) {
                after(1 + random.nextInt(5), () -> attempt.member()
                        .execute(() -> attempt.member().end(attempt, UpstreamOutcome.SUCCEEDED)));
            }
        }

        void restart() {
            process++;
            for (Attempt each : inFlight) {
                if (abandoned.contains(each)) {
                    continue;
                }
                after(1 + random.nextInt(5), () -> each.member()
                        .execute(() -> each.member().end(each, UpstreamOutcome.OVERLOADED)));
            }
            inFlight.clear();
            successes = 0;
            startedAtMillis = now;
            downUntil = now + random.nextInt(3) * random.nextInt(1500);
        }

        private void recordReport() {
            reportHistory.addLast(report());
            if (reportHistory.size() > reportLag) {
                reportHistory.removeFirst();
            }
        }

        private LoadReport report() {
            Instant reportedAt = Instant.ofEpochMilli(now);
            return new LoadReport(startedAt(), reportedAt, inFlight.size(), 0, 8, Optional.empty(), 0, 0);
        }

        private void requestLoad(Member member) {
            GrantOwner requester = member.owner;
            after(1 + random.nextInt(50), () -> {
                boolean missing = now < downUntil || faults && random.nextInt(20) == 0;
                LoadReport answer = reportHistory.isEmpty() ? report() : reportHistory.peekFirst();
                if (!answer.startedAt().equals(startedAt())) {
                    answer = report();
                }
                LoadReport report = answer;
                member.execute(() -> {
                    if (member.owner != requester) {
                        return;
                    }
                    if (missing) {
                        requester.onLoadRequestFailed(UPSTREAM, member.clock(), member.effects);
                    } else {
                        requester.onLoadReport(UPSTREAM, report, member.clock(), member.effects);
                    }
                });
            });
        }
    }

    /** The number of attempts that succeeded. */
    long served() {
        long served = 0;
        for (Member member : members) {
            served += member.served;
        }
        return served;
    }

    /** Changes the demand of each member at intervals. */
    void varyDemand(int maximum) {
        for (Member member : members) {
            repeat(300 + random.nextInt(900), () -> member.wanted = random.nextInt(maximum + 1));
        }
    }
}
