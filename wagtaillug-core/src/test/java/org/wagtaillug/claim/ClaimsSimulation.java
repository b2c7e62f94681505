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
 * Simulates the claims of three nodes, a log with all its failure modes, and callers that try their keys on several
 * nodes, and counts how often each key was executed. The sequence of events is determined by the seed.
 */
final class ClaimsSimulation {
    static final Duration RETENTION = Duration.ofMinutes(20);

    private static final Instant START = Instant.parse("2026-12-01T06:00:00Z");
    private static final int NODES = 3;
    private static final int STEPS = 180;

    /** Failure mode of the log. */
    private enum LogFault {
        NONE,
        OUTAGE,
        SLOW,
        ACKNOWLEDGEMENTS_LOST,
        APPEND_DELAYED
    }

    /**
     * A scheduled action.
     *
     * @param order breaks ties, so that a seed determines the sequence
     */
    private record ScheduledAction(Instant at, long order, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /**
     * One incarnation of a node's process. Its actions are postponed while it is paused and discarded once it has
     * crashed.
     */
    private final class Process {
        private final NodeId id;
        private final Duration clockSkew;
        private final Claims claims;
        private final Effects effects = new Effects();
        private Instant pausedUntil = Instant.MIN;
        private boolean crashed;

        private Process(int index, long incarnation) {
            clockSkew = Duration.ofSeconds(random.nextInt(41) - 20L);
            id = new NodeId(new VmId("entry-" + index), incarnation);
            claims = Claims.builder(id).retention(RETENTION).build();
        }

        private Instant clock() {
            return now.plus(clockSkew);
        }

        private void scheduleHere(Duration delay, Runnable action) {
            schedule(delay, () -> run(action));
        }

        private void run(Runnable action) {
            if (crashed) {
                return;
            }
            if (now.isBefore(pausedUntil)) {
                schedule(
                        Duration.ofMillis(Math.min(
                                5_000, Duration.between(now, pausedUntil).toMillis())),
                        () -> run(action));
                return;
            }
            action.run();
            processEffects();
        }

        private void tick() {
            claims.onTick(clock(), effects);
            scheduleHere(claims.idle() ? Duration.ofSeconds(1) : Duration.ofMillis(50), this::tick);
        }

        private void processEffects() {
            for (Effect effect : effects.drain()) {
                switch (effect) {
                    case Effect.ReadLog read -> read(this, read.from());
                    case Effect.AppendToLog append -> append(this, append.append(), append.record());
                    default -> {}
                }
            }
            for (ClaimResult result : claims.results()) {
                checkResult(this, result);
            }
        }
    }

    private final Random random;
    private final FakeLog log = new FakeLog(RETENTION);
    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private final List<Process> processes = new ArrayList<>();
    private final Map<RequestId, IdempotencyKey> keyByRequest = new HashMap<>();
    private final Set<RequestId> answered = new HashSet<>();
    private final Set<RequestId> acquired = new HashSet<>();
    private final Set<RequestId> refusedAsNotRun = new HashSet<>();
    private final Set<String> possiblyInFlightClaims = new HashSet<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final Map<RequestId, Process> processByRequest = new HashMap<>();
    private final List<Runnable> waitingReads = new ArrayList<>();
    private boolean callersStopped;
    private LogFault fault = LogFault.NONE;
    private Instant now = START;
    private long order;
    private long requests;

    ClaimsSimulation(long seed) {
        random = new Random(seed);
    }

    /**
     * Runs the simulation and fails on the first violated guarantee. Returns the number of requests that acquired their
     * key.
     */
    int simulate() {
        for (int index = 0; index < NODES; index++) {
            processes.add(start(index));
        }
        for (int step = 0; step < STEPS; step++) {
            injectRandomEvent();
            advance(randomStepDelay());
        }
        verifyRecovery();
        return acquired.size();
    }

    private void injectRandomEvent() {
        int roll = random.nextInt(100);
        if (roll < 45) {
            newKey();
        } else if (roll < 53) {
            fault = LogFault.values()[random.nextInt(LogFault.values().length)];
        } else if (roll < 58) {
            crash(random.nextInt(NODES));
        } else if (roll < 66) {
            Process process = processes.get(random.nextInt(NODES));
            process.pausedUntil = now.plusMillis(random.nextInt(random.nextInt(10) == 0 ? 2_000_000 : 20_000));
        }
    }

    private Duration randomStepDelay() {
        int roll = random.nextInt(100);
        if (roll < 80) {
            return Duration.ofMillis(random.nextInt(60));
        }
        if (roll < 98) {
            return Duration.ofMillis(random.nextInt(4_000));
        }
        return Duration.ofSeconds(random.nextInt(600));
    }

    private void verifyRecovery() {
        callersStopped = true;
        fault = LogFault.NONE;
        for (Process process : processes) {
            process.pausedUntil = now;
        }
        advance(Duration.ofMinutes(2));
        for (Process process : processes) {
            RequestId request = requestClaim(process, key("calm-" + requests, 0), "digest", Duration.ofSeconds(2));
            advance(Duration.ofSeconds(2));
            assertThat(acquired).as("a new key is acquired after recovery").contains(request);
        }
        advance(Duration.ofSeconds(40));
        for (Process process : processes) {
            assertThat(process.claims.idle()).as("idle after recovery").isTrue();
        }
        for (ClaimTable.Holder holder : NaiveClaimTable.running(log.allAppended())) {
            if (holder.claimedAt().isBefore(now.minus(RETENTION))) {
                continue;
            }
            assertThat(processes)
                    .as("claim of a live node without an outcome: " + holder)
                    .noneMatch(process -> process.id.equals(holder.claimer()));
        }
        for (Map.Entry<RequestId, Process> entry : processByRequest.entrySet()) {
            boolean crashed = entry.getValue().crashed;
            assertThat(crashed || answered.contains(entry.getKey()))
                    .as("an answer to " + entry.getKey())
                    .isTrue();
        }
    }

    /** A caller with one operation to run, which it tries several times on random nodes, sometimes concurrently. */
    private void newKey() {
        IdempotencyKey key = key("key-" + requests, random.nextInt(300) - 30);
        int tries = 1 + random.nextInt(5);
        Duration wait = Duration.ZERO;
        for (int index = 0; index < tries; index++) {
            String digest = random.nextInt(20) == 0 ? "another" : "digest";
            schedule(wait, () -> {
                if (callersStopped) {
                    return;
                }
                Process process = processes.get(random.nextInt(NODES));
                Duration timeout = Duration.ofMillis(random.nextInt(8_000));
                process.run(() -> requestClaim(process, key, digest, timeout));
            });
            wait = wait.plusMillis(random.nextInt(random.nextInt(12) == 0 ? 1_500_000 : 3_000));
        }
    }

    /** A key whose caller's clock is ahead by the given number of seconds, at most the allowed lead. */
    private IdempotencyKey key(String value, int leadSeconds) {
        return new IdempotencyKey(new CustomerId("office-nord"), value, now.plusSeconds(leadSeconds));
    }

    private RequestId requestClaim(Process process, IdempotencyKey key, String digest, Duration timeout) {
        requests++;
        RequestId request = new RequestId("request-" + requests);
        keyByRequest.put(request, key);
        processByRequest.put(request, process);
        Instant deadline = process.clock().plus(timeout);
        process.claims.requestClaim(request, key, digest, deadline, process.clock(), process.effects);
        process.processEffects();
        return request;
    }

    private void checkResult(Process process, ClaimResult result) {
        RequestId request = result.request();
        assertThat(answered.add(request)).as("one result for " + request).isTrue();
        switch (result) {
            case ClaimResult.Acquired ignored -> onAcquired(process, request);
            case ClaimResult.Recorded recorded -> {
                if (recorded.run() == RunState.RUN) {
                    assertThat(executions.get(keyByRequest.get(request).identity()))
                            .as("recorded as run: " + keyByRequest.get(request))
                            .isEqualTo(1);
                }
            }
            case ClaimResult.Refused refused -> {
                if (refused.refusal().run() == RunState.NOT_RUN) {
                    refusedAsNotRun.add(request);
                }
            }
        }
    }

    private void onAcquired(Process process, RequestId request) {
        acquired.add(request);
        Duration delayBeforeSend = Duration.ofMillis(random.nextInt(100));
        if (random.nextInt(6) == 0) {
            process.scheduleHere(
                    delayBeforeSend, () -> process.claims.abandon(request, process.clock(), process.effects));
            return;
        }
        process.scheduleHere(delayBeforeSend, () -> execute(process, request));
    }

    private void execute(Process process, RequestId request) {
        assertThat(refusedAsNotRun).as("refused as not run, but executed").doesNotContain(request);
        String key = keyByRequest.get(request).identity();
        int count = executions.merge(key, 1, Integer::sum);
        assertThat(count).as("executions of " + key).isEqualTo(1);
        RunState run = random.nextInt(8) == 0 ? RunState.UNKNOWN : RunState.RUN;
        ResultCode code = run == RunState.RUN ? ResultCode.SERVED : ResultCode.OUTCOME_UNKNOWN;
        Duration executionTime = Duration.ofMillis(random.nextInt(2_000));
        process.scheduleHere(
                executionTime,
                () -> process.claims.recordOutcome(
                        request, code, run, Payload.of("{}"), process.clock(), process.effects));
    }

    private void read(Process process, long from) {
        Instant sentAt = process.clock();
        if (fault == LogFault.OUTAGE) {
            process.scheduleHere(delay(), () -> process.claims.onLogReadFailed(process.clock(), process.effects));
            return;
        }
        boolean[] delivered = new boolean[1];
        Runnable answer = () -> {
            if (delivered[0]) {
                return;
            }
            delivered[0] = true;
            LogBatch batch = log.read(from, now);
            process.scheduleHere(
                    delay(), () -> process.claims.onLogRead(sentAt, batch, process.clock(), process.effects));
        };
        if (log.read(from, now).atTail() && log.read(from, now).entries().isEmpty()) {
            waitingReads.add(answer);
            schedule(Duration.ofSeconds(1), answer);
            return;
        }
        answer.run();
    }

    private long appendToLog(LogRecord record) {
        long offset = log.append(record, now);
        List<Runnable> answers = List.copyOf(waitingReads);
        waitingReads.clear();
        answers.forEach(Runnable::run);
        return offset;
    }

    private void append(Process process, long append, LogRecord record) {
        for (ClaimRecord claim : ((LogRecord.ClaimBatch) record).claims()) {
            assertThat(possiblyInFlightClaims)
                    .as("appended again although it may be in flight")
                    .doesNotContain(claim instanceof ClaimRecord.Claimed ? claim.claimId() : "");
        }
        switch (fault) {
            default -> {
                Duration appendDelay = delay();
                schedule(appendDelay, () -> {
                    long offset = appendToLog(record);
                    process.scheduleHere(
                            delay(), () -> process.claims.onAppended(append, offset, process.clock(), process.effects));
                });
            }
            case OUTAGE -> fail(process, append, record, random.nextBoolean());
            case ACKNOWLEDGEMENTS_LOST -> {
                schedule(delay(), () -> appendToLog(record));
                fail(process, append, record, true);
            }
            case APPEND_DELAYED -> {
                schedule(Duration.ofMillis(random.nextInt(30_000)), () -> appendToLog(record));
                fail(process, append, record, true);
            }
        }
    }

    private void fail(Process process, long append, LogRecord record, boolean mayTakeEffect) {
        process.scheduleHere(delay(), () -> {
            if (mayTakeEffect) {
                for (ClaimRecord claim : ((LogRecord.ClaimBatch) record).claims()) {
                    possiblyInFlightClaims.add(claim.claimId());
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
        processes.get(index).crashed = true;
        processes.set(index, start(index));
    }

    private void schedule(Duration delay, Runnable action) {
        order++;
        scheduled.add(new ScheduledAction(now.plus(delay), order, action));
    }

    private void advance(Duration length) {
        Instant until = now.plus(length);
        while (!scheduled.isEmpty() && !scheduled.peek().at().isAfter(until)) {
            ScheduledAction next = scheduled.poll();
            now = next.at();
            next.action().run();
        }
        now = until;
    }
}
