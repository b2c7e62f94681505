package org.wagtaillug.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.contract.Template;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.dispatch.Request;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;

/**
 * Drives one node with the baseline policy against an in-memory log and in-memory upstreams; the results of its effects
 * are delivered at the next step. The template {@code draft} has two stages, {@code booking} must run once.
 */
final class NodeHarness {
    static final Instant START = Instant.parse("2026-12-01T08:00:00Z");
    static final String DRAFT = "draft";
    static final String BOOKING = "booking";

    private static final Duration STEP = Duration.ofMillis(10);
    private static final CustomerId CUSTOMER = new CustomerId("office");
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(5);

    final Map<RequestId, Effect> answers = new HashMap<>();
    final Map<RequestId, Integer> timesAnswered = new HashMap<>();
    final Map<AttemptId, Attempt> running = new LinkedHashMap<>();
    final List<AttemptId> started = new ArrayList<>();
    final Map<LogStream, List<LogBatch.Entry>> log = new HashMap<>();
    /** Whether appends to the claims stream are accepted but cannot be read yet. */
    boolean claimsHidden;

    Optional<Instant> finishedAt = Optional.empty();
    Instant now = START;

    private final Node node;
    private final Queue<Event> pendingEvents = new ArrayDeque<>();
    private boolean ready;

    /** Starts a node and waits until it is ready. */
    NodeHarness(Duration grace) {
        NodeId self = new NodeId(new VmId("entry-1"), 1);
        LogRecord.NodeAddress address = new LogRecord.NodeAddress("127.0.0.1", 7000, new DomainId("a"));
        node = new Node(NodeSetup.builder(self, address)
                .baselinePolicy(true)
                .shutdownGrace(grace)
                .build());
        log.put(LogStream.CONTROL, new ArrayList<>());
        log.put(LogStream.CLAIMS, new ArrayList<>());
        publish(Template.builder(DRAFT)
                .deadline(Duration.ofSeconds(60))
                .stage(Stage.builder("encode").build())
                .stage(Stage.builder("rerank").build())
                .build());
        publish(Template.builder(BOOKING)
                .deadline(Duration.ofSeconds(60))
                .idempotent(false)
                .stage(Stage.builder("book")
                        .work(StageWork.CALL)
                        .attempts(1)
                        .hedge(false)
                        .timeout(Duration.ofSeconds(60))
                        .build())
                .build());
        publish(new CustomerContract(CUSTOMER, 1, Map.of()));
        Instant readyDeadline = now.plus(READY_TIMEOUT);
        while (!ready && now.isBefore(readyDeadline)) {
            advance(STEP);
        }
        if (!ready) {
            throw new IllegalStateException("the node is not ready after " + READY_TIMEOUT);
        }
    }

    private void publish(Body body) {
        append(LogStream.CONTROL, new LogRecord.Change(body.key(), 0, body, new OperatorId("tests"), body.key()));
    }

    private long append(LogStream stream, LogRecord record) {
        List<LogBatch.Entry> entries = log.get(stream);
        entries.add(new LogBatch.Entry(entries.size() + 1, now, record));
        return entries.size();
    }

    void advance(Duration length) {
        Instant end = now.plus(length);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            for (int remaining = pendingEvents.size(); remaining > 0; remaining--) {
                deliver(pendingEvents.remove());
            }
            deliver(new Event.Tick());
        }
    }

    /** Asks the node to shut down. */
    void signalShutdown() {
        deliver(new Event.DrainStarted(now));
    }

    RequestId submit(String id, String template, Duration untilDeadline) {
        RequestId request = new RequestId(id);
        Request.Builder builder = Request.builder(request, CUSTOMER, new TemplateId(template))
                .deadline(now.plus(untilDeadline))
                .body(Payload.of("\"in\""));
        if (template.equals(BOOKING)) {
            builder.key(new IdempotencyKey(CUSTOMER, "key-of-" + id, now));
        }
        deliver(new Event.RequestArrived(builder.build()));
        return request;
    }

    void end(AttemptId attempt, AttemptEnd end) {
        running.remove(attempt);
        deliver(new Event.AttemptEnded(attempt, end));
    }

    /** Completes the oldest running attempt. */
    void complete() {
        end(running.keySet().iterator().next(), new AttemptEnd.Completed(Payload.of("1")));
    }

    /** Returns the refusal of a request; fails if the request has no answer or was served. */
    Refusal refusal(RequestId request) {
        if (answers.get(request) instanceof Effect.AnswerRefused refused) {
            return refused.refusal();
        }
        throw new AssertionError("request " + request + " got " + answers.get(request));
    }

    boolean served(RequestId request) {
        return answers.get(request) instanceof Effect.AnswerServed;
    }

    /** Whether the claims stream contains a record of the given type. */
    boolean hasClaimRecord(Class<? extends LogRecord.ClaimRecord> type) {
        for (LogBatch.Entry entry : log.get(LogStream.CLAIMS)) {
            if (entry.record() instanceof LogRecord.ClaimBatch batch
                    && batch.claims().stream().anyMatch(type::isInstance)) {
                return true;
            }
        }
        return false;
    }

    private void deliver(Event event) {
        for (Effect effect : node.handle(event, now)) {
            execute(effect);
        }
    }

    private void execute(Effect effect) {
        switch (effect) {
            case Effect.ReadLog read -> pendingEvents.add(new Event.LogRead(read.stream(), now, batch(read)));
            case Effect.AppendToLog append ->
                pendingEvents.add(new Event.LogAppended(append.append(), append(append.stream(), append.record())));
            case Effect.ReadVmList ignored ->
                pendingEvents.add(
                        new Event.VmListRead(List.of(upstream("encode"), upstream("rerank"), upstream("book"))));
            case Effect.StartAttempt start -> {
                started.add(start.attempt().id());
                running.put(start.attempt().id(), start.attempt());
            }
            case Effect.CancelAttempt cancel -> {
                running.remove(cancel.attempt());
                pendingEvents.add(new Event.AttemptEnded(cancel.attempt(), new AttemptEnd.Failed(true, "cancelled")));
            }
            case Effect.AnswerServed served -> recordAnswer(served.request(), served);
            case Effect.AnswerRefused refused -> recordAnswer(refused.request(), refused);
            case Effect.ReadinessChanged changed -> ready = changed.ready();
            case Effect.DrainFinished ignored -> finishedAt = Optional.of(now);
            default -> {
                // Other effects are ignored.
            }
        }
    }

    private void recordAnswer(RequestId request, Effect answer) {
        answers.put(request, answer);
        timesAnswered.merge(request, 1, Integer::sum);
    }

    private LogBatch batch(Effect.ReadLog read) {
        List<LogBatch.Entry> entries = log.get(read.stream());
        boolean hidden = claimsHidden && read.stream() == LogStream.CLAIMS;
        long end = hidden ? read.from() : Math.max(read.from(), entries.size() + 1);
        return new LogBatch(read.from(), 1, end, entries.subList((int) read.from() - 1, (int) end - 1));
    }

    private static Vm upstream(String pool) {
        return new Vm(
                new VmId(pool + "-1"),
                Optional.of(new PoolId(pool)),
                new DomainId("a"),
                new RegionId("r"),
                "127.0.0.1",
                9000,
                false);
    }
}
