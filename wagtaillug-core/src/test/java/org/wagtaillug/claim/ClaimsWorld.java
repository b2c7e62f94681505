package org.wagtaillug.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/**
 * Three nodes' claims, a log that fails in every way it can, callers that try their keys on several nodes, and a ledger
 * that counts how often each key was executed. One seed gives one course of events.
 */
final class ClaimsWorld {
    static final Duration RETENTION = Duration.ofMinutes(20);

    private static final Instant START = Instant.parse("2026-12-01T06:00:00Z");
    private static final int NODES = 3;
    private static final int STEPS = 180;

    /** What the log does to appends and reads. */
    private enum LogFault {
        NONE,
        OUTAGE,
        SLOW,
        ANSWERS_LOST,
        LANDS_LATE
    }

    /**
     * Something that will happen.
     *
     * @param order breaks ties, so that a seed gives one course
     */
    private record Planned(Instant at, long order, Runnable action) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** One run of one node's process. Nothing happens in it while it is paused, and nothing at all once it is dead. */
    private final class Process {
        private final NodeId name;
        private final Duration skew;
        private final Claims claims;
        private final Effects effects = new Effects();
        private Instant pausedUntil = Instant.MIN;
        private boolean dead;

        private Process(int index, long incarnation) {
            skew = Duration.ofSeconds(random.nextInt(41) - 20L);
            name = new NodeId(new VmId("entry-" + index), incarnation);
            claims = Claims.builder(name).retention(RETENTION).build();
        }

        private Instant clock() {
            return now.plus(skew);
        }

        private void later(Duration delay, Runnable action) {
            plan(delay, () -> run(action));
        }

        private void run(Runnable action) {
            if (dead) {
                return;
            }
            if (now.isBefore(pausedUntil)) {
                plan(
                        Duration.ofMillis(Math.min(
                                5_000, Duration.between(now, pausedUntil).toMillis())),
                        () -> run(action));
                return;
            }
            action.run();
            settleUp();
        }

        private void tick() {
            claims.onTick(clock(), effects);
            later(claims.idle() ? Duration.ofSeconds(1) : Duration.ofMillis(50), this::tick);
        }

        private void settleUp() {
            for (Effect effect : effects.drain()) {
                switch (effect) {
                    case Effect.ReadLog read -> read(this, read.from());
                    case Effect.AppendToLog append -> append(this, append.append(), append.record());
                    default -> {}
                }
            }
            for (Verdict verdict : claims.verdicts()) {
                judge(this, verdict);
            }
        }
    }

    private final Random random;
    private final FakeLog log = new FakeLog(RETENTION);
    private final PriorityQueue<Planned> planned = new PriorityQueue<>();
    private final List<Process> processes = new ArrayList<>();
    private final Map<RequestId, IdempotencyKey> asked = new HashMap<>();
    private final Set<RequestId> answered = new HashSet<>();
    private final Set<RequestId> winners = new HashSet<>();
    private final Set<RequestId> toldNotRun = new HashSet<>();
    private final Set<String> uncertainClaims = new HashSet<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final Map<RequestId, Process> askedAt = new HashMap<>();
    private final List<Runnable> waitingReads = new ArrayList<>();
    private boolean callersGone;
    private LogFault fault = LogFault.NONE;
    private Instant now = START;
    private long order;
    private long requests;

    ClaimsWorld(long seed) {
        random = new Random(seed);
    }

    /** Runs the whole course; fails on the first broken promise. Gives how many requests won. */
    int play() {
        for (int index = 0; index < NODES; index++) {
            processes.add(start(index));
        }
        for (int step = 0; step < STEPS; step++) {
            happen();
            advance(nextPause());
        }
        calmDown();
        return winners.size();
    }

    private void happen() {
        int dice = random.nextInt(100);
        if (dice < 45) {
            newKey();
        } else if (dice < 53) {
            fault = LogFault.values()[random.nextInt(LogFault.values().length)];
        } else if (dice < 58) {
            crash(random.nextInt(NODES));
        } else if (dice < 66) {
            Process process = processes.get(random.nextInt(NODES));
            process.pausedUntil = now.plusMillis(random.nextInt(random.nextInt(10) == 0 ? 2_000_000 : 20_000));
        }
    }

    private Duration nextPause() {
        int dice = random.nextInt(100);
        if (dice < 80) {
            return Duration.ofMillis(random.nextInt(60));
        }
        if (dice < 98) {
            return Duration.ofMillis(random.nextInt(4_000));
        }
        return Duration.ofSeconds(random.nextInt(600));
    }

    private void calmDown() {
        callersGone = true;
        fault = LogFault.NONE;
        for (Process process : processes) {
            process.pausedUntil = now;
        }
        advance(Duration.ofMinutes(2));
        for (Process process : processes) {
            RequestId request = ask(process, key("calm-" + requests, 0), "digest", Duration.ofSeconds(2));
            advance(Duration.ofSeconds(2));
            assertThat(winners).as("a new key is won once all is well").contains(request);
        }
        advance(Duration.ofSeconds(40));
        for (Process process : processes) {
            assertThat(process.claims.idle()).as("idle once all is well").isTrue();
        }
        for (ClaimFold.Holder holder : NaiveFold.running(log.ever())) {
            if (holder.time().isBefore(now.minus(RETENTION))) {
                continue;
            }
            assertThat(processes)
                    .as("a live node's claim without an end: " + holder)
                    .noneMatch(process -> process.name.equals(holder.claimer()));
        }
        for (Map.Entry<RequestId, Process> entry : askedAt.entrySet()) {
            boolean lost = entry.getValue().dead;
            assertThat(lost || answered.contains(entry.getKey()))
                    .as("an answer to " + entry.getKey())
                    .isTrue();
        }
    }

    /** A caller has something to do once, and tries it until an answer satisfies it, now and then twice at a time. */
    private void newKey() {
        IdempotencyKey key = key("key-" + requests, random.nextInt(300) - 30);
        int tries = 1 + random.nextInt(5);
        Duration wait = Duration.ZERO;
        for (int index = 0; index < tries; index++) {
            String digest = random.nextInt(20) == 0 ? "another" : "digest";
            plan(wait, () -> {
                if (callersGone) {
                    return;
                }
                Process process = processes.get(random.nextInt(NODES));
                Duration patience = Duration.ofMillis(random.nextInt(8_000));
                process.run(() -> ask(process, key, digest, patience));
            });
            wait = wait.plusMillis(random.nextInt(random.nextInt(12) == 0 ? 1_500_000 : 3_000));
        }
    }

    /** A key whose caller's clock is ahead by some seconds, at most what is allowed. */
    private IdempotencyKey key(String value, int lead) {
        return new IdempotencyKey(new CustomerId("office-nord"), value, now.plusSeconds(lead));
    }

    private RequestId ask(Process process, IdempotencyKey key, String digest, Duration patience) {
        requests++;
        RequestId request = new RequestId("request-" + requests);
        asked.put(request, key);
        askedAt.put(request, process);
        Instant deadline = process.clock().plus(patience);
        process.claims.ask(request, key, digest, deadline, process.clock(), process.effects);
        process.settleUp();
        return request;
    }

    private void judge(Process process, Verdict verdict) {
        RequestId request = verdict.request();
        assertThat(answered.add(request)).as("one verdict for " + request).isTrue();
        switch (verdict) {
            case Verdict.Won ignored -> won(process, request);
            case Verdict.Recorded recorded -> {
                if (recorded.run() == RunState.RUN) {
                    assertThat(executions.get(asked.get(request).identity()))
                            .as("recorded as run: " + asked.get(request))
                            .isEqualTo(1);
                }
            }
            case Verdict.Refused refused -> {
                if (refused.refusal().run() == RunState.NOT_RUN) {
                    toldNotRun.add(request);
                }
            }
        }
    }

    private void won(Process process, RequestId request) {
        winners.add(request);
        Duration hesitation = Duration.ofMillis(random.nextInt(100));
        if (random.nextInt(6) == 0) {
            process.later(hesitation, () -> process.claims.abandon(request, process.clock(), process.effects));
            return;
        }
        process.later(hesitation, () -> execute(process, request));
    }

    private void execute(Process process, RequestId request) {
        assertThat(toldNotRun).as("told not run, yet run").doesNotContain(request);
        String key = asked.get(request).identity();
        int times = executions.merge(key, 1, Integer::sum);
        assertThat(times).as("executions of " + key).isEqualTo(1);
        RunState run = random.nextInt(8) == 0 ? RunState.UNKNOWN : RunState.RUN;
        ResultCode code = run == RunState.RUN ? ResultCode.SERVED : ResultCode.OUTCOME_UNKNOWN;
        Duration work = Duration.ofMillis(random.nextInt(2_000));
        process.later(
                work,
                () -> process.claims.settled(request, code, run, Payload.of("{}"), process.clock(), process.effects));
    }

    private void read(Process process, long from) {
        Instant sentAt = process.clock();
        if (fault == LogFault.OUTAGE) {
            process.later(delay(), () -> process.claims.onLogReadFailed(process.clock(), process.effects));
            return;
        }
        boolean[] delivered = new boolean[1];
        Runnable answer = () -> {
            if (delivered[0]) {
                return;
            }
            delivered[0] = true;
            LogBatch batch = log.read(from, now);
            process.later(delay(), () -> process.claims.onLogRead(sentAt, batch, process.clock(), process.effects));
        };
        if (log.read(from, now).atTail() && log.read(from, now).entries().isEmpty()) {
            waitingReads.add(answer);
            plan(Duration.ofSeconds(1), answer);
            return;
        }
        answer.run();
    }

    private long land(LogRecord record) {
        long offset = log.append(record, now);
        List<Runnable> answers = List.copyOf(waitingReads);
        waitingReads.clear();
        answers.forEach(Runnable::run);
        return offset;
    }

    private void append(Process process, long append, LogRecord record) {
        for (ClaimRecord claim : ((LogRecord.ClaimBatch) record).claims()) {
            assertThat(uncertainClaims)
                    .as("appended again though it may be on its way")
                    .doesNotContain(claim instanceof ClaimRecord.Claimed ? claim.claimId() : "");
        }
        switch (fault) {
            default -> {
                Duration landing = delay();
                plan(landing, () -> {
                    long offset = land(record);
                    process.later(
                            delay(), () -> process.claims.onAppended(append, offset, process.clock(), process.effects));
                });
            }
            case OUTAGE -> fail(process, append, record, random.nextBoolean());
            case ANSWERS_LOST -> {
                plan(delay(), () -> land(record));
                fail(process, append, record, true);
            }
            case LANDS_LATE -> {
                plan(Duration.ofMillis(random.nextInt(30_000)), () -> land(record));
                fail(process, append, record, true);
            }
        }
    }

    private void fail(Process process, long append, LogRecord record, boolean mayTakeEffect) {
        process.later(delay(), () -> {
            if (mayTakeEffect) {
                for (ClaimRecord claim : ((LogRecord.ClaimBatch) record).claims()) {
                    uncertainClaims.add(claim.claimId());
                }
            }
            process.claims.onAppendFailed(append, mayTakeEffect, process.clock(), process.effects);
        });
    }

    private Duration delay() {
        return Duration.ofMillis(fault == LogFault.SLOW ? random.nextInt(4_000) : 1 + random.nextInt(30));
    }

    private Process start(int index) {
        order++;
        Process process = new Process(index, order);
        process.run(process::tick);
        return process;
    }

    private void crash(int index) {
        processes.get(index).dead = true;
        processes.set(index, start(index));
    }

    private void plan(Duration delay, Runnable action) {
        order++;
        planned.add(new Planned(now.plus(delay), order, action));
    }

    private void advance(Duration length) {
        Instant until = now.plus(length);
        while (!planned.isEmpty() && !planned.peek().at().isAfter(until)) {
            Planned next = planned.poll();
            now = next.at();
            next.action().run();
        }
        now = until;
    }
}
