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

/** Drives the claims of one node step by step and records its inputs and outputs as a transcript. */
final class ClaimsHarness {
    static final Instant START = Instant.parse("2026-12-01T06:00:00Z");
    static final NodeId SELF = new NodeId(new VmId("entry-1"), 1);
    static final NodeId OTHER = new NodeId(new VmId("entry-2"), 1);

    final List<ClaimResult> results = new ArrayList<>();
    final List<LogRecord.ClaimBatch> appended = new ArrayList<>();
    private final List<String> transcript = new ArrayList<>();
    private final Effects effects = new Effects();
    private final Claims claims;
    private Instant now = START;
    private Instant readAt = START;
    private long next = 1;
    private long append;

    ClaimsHarness(Claims.Builder builder) {
        claims = builder.build();
    }

    /** A harness whose claims have read the empty stream to its tail. */
    static ClaimsHarness caughtUp(Claims.Builder builder) {
        ClaimsHarness harness = new ClaimsHarness(builder);
        harness.tick();
        harness.read();
        return harness;
    }

    Claims claims() {
        return claims;
    }

    Instant now() {
        return now;
    }

    void comment(String text) {
        transcript.add("# " + text);
    }

    void advance(Duration length) {
        now = now.plus(length);
    }

    void advance(long millis) {
        advance(Duration.ofMillis(millis));
    }

    void tick() {
        recordInput("tick");
        claims.onTick(now, effects);
        recordOutput();
    }

    IdempotencyKey key(String value, Instant issuedAt) {
        return new IdempotencyKey(new CustomerId("office-nord"), value, issuedAt);
    }

    void requestClaim(String request, String key, String digest, long timeoutMillis) {
        requestClaim(request, key(key, START), digest, timeoutMillis);
    }

    void requestClaim(String request, IdempotencyKey key, String digest, long timeoutMillis) {
        recordInput(
                "ask " + request + " key=" + key.identity() + " digest=" + digest + " within " + timeoutMillis + " ms");
        claims.requestClaim(new RequestId(request), key, digest, now.plusMillis(timeoutMillis), now, effects);
        recordOutput();
    }

    /** Answers the pending read with these records, each in a batch of its own. */
    void read(ClaimRecord... records) {
        List<LogBatch.Entry> entries = new ArrayList<>();
        for (ClaimRecord record : records) {
            entries.add(new LogBatch.Entry(next + entries.size(), now, new LogRecord.ClaimBatch(List.of(record))));
        }
        long end = next + entries.size();
        read(new LogBatch(next, 1, end, entries));
    }

    void read(LogBatch batch) {
        recordInput("read "
                + batch.entries().stream().map(entry -> text(entry.record())).collect(Collectors.joining(", "))
                + " end=" + batch.end());
        next = batch.next();
        claims.onLogRead(readAt, batch, now, effects);
        recordOutput();
    }

    void failRead() {
        recordInput("read fails");
        claims.onLogReadFailed(now, effects);
        recordOutput();
    }

    void acknowledgeAppend() {
        recordInput("append " + append + " answered");
        claims.onAppended(append, 1, now, effects);
        recordOutput();
    }

    void failAppend(boolean mayTakeEffect) {
        recordInput("append " + append + " fails, " + (mayTakeEffect ? "may take effect" : "without effect"));
        claims.onAppendFailed(append, mayTakeEffect, now, effects);
        recordOutput();
    }

    void recordOutcome(String request, ResultCode code, RunState run, Payload output) {
        recordInput("settled " + request + " " + code + " " + run);
        claims.recordOutcome(new RequestId(request), code, run, output, now, effects);
        recordOutput();
    }

    void abandon(String request) {
        recordInput("abandon " + request);
        claims.abandon(new RequestId(request), now, effects);
        recordOutput();
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

    private void recordInput(String event) {
        transcript.add(String.format("%7d ms  %s", Duration.between(START, now).toMillis(), event));
    }

    private void recordOutput() {
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
        for (ClaimResult result : claims.results()) {
            results.add(result);
            transcript.add("            => " + text(result));
        }
    }

    private static String text(ClaimResult result) {
        return switch (result) {
            case ClaimResult.Acquired acquired -> acquired.request() + " won with " + acquired.claimId();
            case ClaimResult.Recorded recorded ->
                recorded.request() + " repeats " + recorded.code() + " " + recorded.run() + " "
                        + recorded.output().text();
            case ClaimResult.Refused refused ->
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
