package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
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

/** One node's claims, driven by hand; writes down what goes in and what comes out. */
final class ClaimsSession {
    static final Instant START = Instant.parse("2026-12-01T06:00:00Z");
    static final NodeId SELF = new NodeId(new VmId("entry-1"), 1);
    static final NodeId OTHER = new NodeId(new VmId("entry-2"), 1);

    final List<Verdict> verdicts = new ArrayList<>();
    final List<LogRecord.ClaimBatch> appended = new ArrayList<>();
    private final List<String> transcript = new ArrayList<>();
    private final Effects effects = new Effects();
    private final Claims claims;
    private Instant now = START;
    private Instant readAt = START;
    private long next = 1;
    private long append;

    ClaimsSession(Claims.Builder builder) {
        claims = builder.build();
    }

    /** A session that has read the empty stream to its tail. */
    static ClaimsSession caughtUp(Claims.Builder builder) {
        ClaimsSession session = new ClaimsSession(builder);
        session.tick();
        session.read();
        return session;
    }

    Claims claims() {
        return claims;
    }

    Instant now() {
        return now;
    }

    void say(String story) {
        transcript.add("# " + story);
    }

    void after(Duration length) {
        now = now.plus(length);
    }

    void after(long millis) {
        after(Duration.ofMillis(millis));
    }

    void tick() {
        in("tick");
        claims.onTick(now, effects);
        out();
    }

    IdempotencyKey key(String value, Instant issuedAt) {
        return new IdempotencyKey(new CustomerId("office-nord"), value, issuedAt);
    }

    void ask(String request, String key, String digest, long patienceMillis) {
        ask(request, key(key, START), digest, patienceMillis);
    }

    void ask(String request, IdempotencyKey key, String digest, long patienceMillis) {
        in("ask " + request + " key=" + key.identity() + " digest=" + digest + " within " + patienceMillis + " ms");
        claims.ask(new RequestId(request), key, digest, now.plusMillis(patienceMillis), now, effects);
        out();
    }

    /** The pending read gives these, each as one batch. */
    void read(ClaimRecord... records) {
        List<LogBatch.Entry> entries = new ArrayList<>();
        for (ClaimRecord record : records) {
            entries.add(new LogBatch.Entry(next + entries.size(), now, new LogRecord.ClaimBatch(List.of(record))));
        }
        long end = next + entries.size();
        read(new LogBatch(next, 1, end, entries));
    }

    void read(LogBatch batch) {
        in("read " + batch.entries().stream().map(entry -> text(entry.record())).collect(Collectors.joining(", "))
                + " end=" + batch.end());
        next = batch.next();
        claims.onLogRead(readAt, batch, now, effects);
        out();
    }

    void readFails() {
        in("read fails");
        claims.onLogReadFailed(now, effects);
        out();
    }

    void appendAnswered() {
        in("append " + append + " answered");
        claims.onAppended(append, 1, now, effects);
        out();
    }

    void appendFails(boolean mayTakeEffect) {
        in("append " + append + " fails, " + (mayTakeEffect ? "may take effect" : "surely without effect"));
        claims.onAppendFailed(append, mayTakeEffect, now, effects);
        out();
    }

    void settled(String request, ResultCode code, RunState run, Payload output) {
        in("settled " + request + " " + code + " " + run);
        claims.settled(new RequestId(request), code, run, output, now, effects);
        out();
    }

    void abandon(String request) {
        in("abandon " + request);
        claims.abandon(new RequestId(request), now, effects);
        out();
    }

    ClaimRecord lastAppended() {
        return appended.getLast().claims().getLast();
    }

    String transcript() {
        return String.join("\n", transcript) + "\n";
    }

    static ClaimRecord.Claimed claimOf(NodeId node, String claimId, String key, String digest) {
        return new ClaimRecord.Claimed("office-nord/" + key, claimId, START, node, digest);
    }

    private void in(String event) {
        transcript.add(String.format("%7d ms  %s", Duration.between(START, now).toMillis(), event));
    }

    private void out() {
        for (Effect effect : effects.drain()) {
            switch (effect) {
                case Effect.ReadLog read -> {
                    readAt = now;
                    transcript.add("            -> read from " + read.from());
                }
                case Effect.AppendToLog sent -> {
                    append = sent.append();
                    appended.add((LogRecord.ClaimBatch) sent.record());
                    transcript.add("            -> append " + append + ": " + text(sent.record()));
                }
                case Effect.LogDecision line ->
                    transcript.add("            -> log " + line.decision().kind() + " "
                            + line.decision().fields());
                default -> transcript.add("            -> " + effect);
            }
        }
        for (Verdict verdict : claims.verdicts()) {
            verdicts.add(verdict);
            transcript.add("            => " + text(verdict));
        }
    }

    private static String text(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Won won -> won.request() + " won with " + won.claimId();
            case Verdict.Recorded recorded ->
                recorded.request() + " repeats " + recorded.code() + " " + recorded.run() + " "
                        + recorded.output().text();
            case Verdict.Refused refused ->
                refused.request() + " refused " + refused.refusal().code() + " "
                        + refused.refusal().run() + " retry after "
                        + refused.refusal().retryAfter().toMillis() + " ms";
        };
    }

    private static String text(LogRecord record) {
        if (!(record instanceof LogRecord.ClaimBatch batch)) {
            return record.toString();
        }
        List<String> parts = new ArrayList<>();
        for (ClaimRecord claim : batch.claims()) {
            parts.add(
                    switch (claim) {
                        case ClaimRecord.Claimed claimed -> claimed.claimId() + " claims " + claimed.key();
                        case ClaimRecord.Settled settled ->
                            settled.claimId() + " settles " + settled.key() + " " + settled.run();
                        case ClaimRecord.Abandoned abandoned -> abandoned.claimId() + " abandons " + abandoned.key();
                    });
        }
        return String.join("; ", parts);
    }
}
