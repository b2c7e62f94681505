package org.wagtaillug.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

class ClaimsTest {
    private static final long TIMEOUT_MS = 2_000;

    private final ClaimsHarness harness = ClaimsHarness.caughtUp(Claims.builder(ClaimsHarness.SELF));

    /**
     * Two nodes claimed the same key and both appends were acknowledged. The second node took its acknowledgement for a
     * win although the other claim comes first on the log, and the deposit was taken twice.
     */
    @Test
    void anAcknowledgedAppendDoesNotAcquireTheKey() {
        harness.requestClaim("r1", "deposit", "d", TIMEOUT_MS);
        harness.acknowledgeAppend();
        assertThat(harness.results).isEmpty();

        ClaimRecord own = harness.lastAppended();
        harness.read(ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival", "deposit", "d"), own);
        assertThat(harness.results).isEmpty();
    }

    /**
     * The append of a claim was not acknowledged and the node appended the claim again while the first append was in
     * flight. The first copy was abandoned, but the second one came after that and held the key forever.
     */
    @Test
    void aClaimThatMayBeInFlightIsNotAppendedAgain() {
        harness.requestClaim("r1", "deposit", "d", TIMEOUT_MS);
        harness.failAppend(true);
        harness.advance(1_500);
        harness.read();
        harness.tick();

        assertThat(harness.appended).hasSize(1);
        assertThat(harness.results).isEmpty();

        harness.advance(TIMEOUT_MS);
        harness.tick();
        assertThat(refusal().code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
        assertThat(refusal().run()).isEqualTo(RunState.NOT_RUN);
        assertThat(harness.claims().idle()).isFalse();
    }

    /**
     * A claim appeared on the log after the deadline and the request was run, although its caller had been told "not
     * run".
     */
    @Test
    void aClaimThatIsReadAfterItsRequestWasRefusedIsAbandoned() {
        harness.requestClaim("r1", "booking", "d", 100);
        ClaimRecord claim = harness.lastAppended();
        harness.advance(100);
        harness.read(claim);

        assertThat(refusal().run()).isEqualTo(RunState.NOT_RUN);
        harness.acknowledgeAppend();
        assertThat(harness.lastAppended()).isEqualTo(new ClaimRecord.Abandoned(claim.key(), claim.claimId()));
    }

    /**
     * A retry an hour later ran the request again: the log had dropped the first claim, so the key looked new. A
     * caller's clock may be 5 minutes ahead, so a claim may be that much older than its key's issue time.
     */
    @Test
    void aKeyIsRefusedOnceItsFirstClaimMayHaveBeenDropped() {
        Instant issuedAt = harness.now().plus(KeyAgeLimits.MAX_CLOCK_LEAD);
        harness.advance(Duration.ofMinutes(59).minusMillis(1));
        harness.tick();
        harness.read();
        harness.requestClaim("r1", harness.key("young", issuedAt), "d", TIMEOUT_MS);
        assertThat(harness.lastAppended().key()).isEqualTo("office-nord/young");

        harness.advance(2);
        harness.requestClaim("r2", harness.key("old", issuedAt), "d", TIMEOUT_MS);
        assertThat(refusal().code()).isEqualTo(ResultCode.KEY_TOO_OLD);
    }

    /**
     * The log retains records for less time than configured, and a node that starts then would take an old key for a
     * new one.
     */
    @Test
    void aKeyOlderThanTheOldestRetainedRecordIsRefused() {
        ClaimsHarness lateNode = new ClaimsHarness(Claims.builder(ClaimsHarness.SELF));
        lateNode.advance(Duration.ofMinutes(10));
        lateNode.tick();
        LogRecord oldest = new LogRecord.Unreadable(7);
        lateNode.read(new LogBatch(1, 40, 41, List.of(new LogBatch.Entry(40, lateNode.now(), oldest))));

        lateNode.requestClaim("r1", lateNode.key("old", lateNode.now().minusMillis(1)), "d", TIMEOUT_MS);
        lateNode.requestClaim("r2", lateNode.key("new", lateNode.now()), "d", TIMEOUT_MS);

        assertThat(lateNode.results).hasSize(1);
        assertThat(lateNode.results.getFirst().request()).isEqualTo(new RequestId("r1"));
        assertThat(lateNode.lastAppended().key()).isEqualTo("office-nord/new");
    }

    /**
     * A node that was paused for longer than the log's retention has missed claims and must not act on outdated state.
     */
    @Test
    void aGapInTheStreamRefusesAllPendingRequests() {
        harness.read(ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival", "held", "d"));
        harness.requestClaim("r1", "new", "d", TIMEOUT_MS);
        harness.requestClaim("r2", "held", "d", TIMEOUT_MS);
        harness.advance(500);

        harness.read(new LogBatch(3, 40, 40, List.of()));

        assertThat(harness.results).hasSize(2);
        assertThat(refusalOf(0).run()).isEqualTo(RunState.NOT_RUN);
        assertThat(refusalOf(1).run()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aKeyIssuedTooFarInTheFutureIsMalformed() {
        harness.requestClaim("r1", harness.key("k", harness.now().plusSeconds(301)), "d", TIMEOUT_MS);

        assertThat(refusal().code()).isEqualTo(ResultCode.MALFORMED);
    }

    @Test
    void aRequestWhoseDeadlineHasPassedMakesNoClaim() {
        harness.requestClaim("r1", "k", "d", 0);

        assertThat(refusal().code()).isEqualTo(ResultCode.DEADLINE_PASSED);
        assertThat(harness.appended).isEmpty();
    }

    @Test
    void aKeyHeldByAFormerMemberHasAnUnknownOutcome() {
        ClaimsHarness singleMember =
                ClaimsHarness.caughtUp(Claims.builder(ClaimsHarness.SELF).members(node -> false));
        singleMember.read(ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival", "k", "d"));

        singleMember.requestClaim("r1", "k", "d", TIMEOUT_MS);

        Refusal refusal = ((ClaimResult.Refused) singleMember.results.getFirst()).refusal();
        assertThat(refusal.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(refusal.run()).isEqualTo(RunState.UNKNOWN);
    }

    /**
     * A log that neither answers nor refuses reads is unavailable too. Outcomes that are already known are still
     * returned.
     */
    @Test
    void aLogThatDoesNotAnswerIsUnavailableButRecordedOutcomesAreReturned() {
        ClaimRecord.Claimed rival = ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival", "k", "d");
        harness.read(
                rival, new ClaimRecord.Settled(rival.key(), "rival", ResultCode.SERVED, RunState.RUN, Payload.of("1")));
        harness.advance(ClaimReader.READ_TIMEOUT);
        harness.tick();

        harness.requestClaim("r1", "k", "d", TIMEOUT_MS);
        harness.requestClaim("r2", "other", "d", TIMEOUT_MS);

        assertThat(harness.results.getFirst()).isInstanceOf(ClaimResult.Recorded.class);
        assertThat(refusal().code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
        assertThat(harness.appended).isEmpty();
    }

    /**
     * A node crashed while it ran a request, then the log became unavailable, and the caller retried at another node
     * with the same key. That node cannot see whether the first one ran the request, so "not run" could be false. It
     * may say so only for a key that was issued just now.
     */
    @Test
    void anOlderKeyIsNotReportedAsNotRunWhileTheLogIsUnavailable() {
        harness.read(ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival", "k", "d"));
        harness.advance(ClaimReader.READ_TIMEOUT);
        harness.tick();

        harness.requestClaim("r1", harness.key("just-made", harness.now()), "d", TIMEOUT_MS);
        assertThat(refusal().run()).isEqualTo(RunState.NOT_RUN);
        harness.requestClaim("r2", harness.key("asked-before", harness.now().minusSeconds(5)), "d", TIMEOUT_MS);
        assertThat(refusal().code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
        assertThat(refusal().run()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aLateResponseToAnOldReadIsNotAppliedTwice() {
        LogBatch batch = new LogBatch(
                1, 1, 2, List.of(new LogBatch.Entry(1, harness.now(), new LogRecord.ClaimBatch(List.of()))));
        harness.read(batch);
        harness.read(batch);
        harness.read(new ClaimRecord.Abandoned("k", "c"));

        assertThat(harness.transcript()).contains("read from 2").doesNotContain("read from 4");
    }

    @Test
    void queuedRecordsAreBatchedUpToTheMaximumSize() {
        harness.requestClaim("r0", "key-0", "d", 60_000);
        for (int index = 1; index <= 1_000; index++) {
            harness.requestClaim("r" + index, "key-" + index, "d", 60_000);
        }
        assertThat(harness.appended).hasSize(1);

        List<Integer> sizes = new ArrayList<>();
        while (sizes.stream().mapToInt(Integer::intValue).sum() < 1_001) {
            sizes.add(harness.appended.getLast().claims().size());
            harness.advance(5);
            harness.acknowledgeAppend();
        }
        assertThat(sizes).containsExactly(1, 834, 166);
    }

    /** Nine nodes under load share the log service's append rate of several hundred appends per second. */
    @Test
    void appendsAreLimitedToTheNodesShare() {
        for (int millis = 0; millis < 10_000; millis += 5) {
            harness.requestClaim("r" + millis, "key-" + millis, "d", 60_000);
            harness.tick();
            harness.acknowledgeAppend();
            harness.read();
            harness.advance(5);
        }

        assertThat(harness.appended.size()).isBetween(300, 310);
    }

    @Test
    void aResponseThatIsTooLargeToBeRecordedIsRecordedAsRun() {
        harness.requestClaim("r1", "k", "d", TIMEOUT_MS);
        harness.read(harness.lastAppended());
        harness.acknowledgeAppend();
        harness.advance(10);
        Payload large = Payload.wrap(new byte[ClaimWriter.MAX_OUTPUT_BYTES + 1]);

        harness.recordOutcome("r1", ResultCode.SERVED, RunState.RUN, large);

        ClaimRecord.Settled settled = (ClaimRecord.Settled) harness.lastAppended();
        assertThat(settled.code()).isEqualTo(ResultCode.TOO_LARGE);
        assertThat(settled.run()).isEqualTo(RunState.RUN);
        assertThat(settled.output()).isEqualTo(Payload.EMPTY);
    }

    @Test
    void isIdleAfterTheOutcomeIsWritten() {
        assertThat(harness.claims().idle()).isTrue();
        harness.requestClaim("r1", "k", "d", TIMEOUT_MS);
        harness.read(harness.lastAppended());
        harness.acknowledgeAppend();
        assertThat(harness.claims().idle()).isFalse();
        harness.advance(10);
        harness.recordOutcome("r1", ResultCode.SERVED, RunState.RUN, Payload.EMPTY);
        assertThat(harness.claims().idle()).isFalse();
        harness.acknowledgeAppend();
        assertThat(harness.claims().idle()).isTrue();
    }

    @Test
    void refusesARequestIdThatIsInUse() {
        harness.requestClaim("r1", "k", "d", TIMEOUT_MS);

        assertThatThrownBy(() -> harness.requestClaim("r1", "k", "d", TIMEOUT_MS))
                .hasMessageContaining("request r1 is already pending");
        assertThatThrownBy(() -> Claims.builder(ClaimsHarness.SELF).retention(Duration.ofMinutes(1)))
                .hasMessageContaining("expected at least PT10M");
    }

    private Refusal refusal() {
        return refusalOf(harness.results.size() - 1);
    }

    private Refusal refusalOf(int index) {
        return ((ClaimResult.Refused) harness.results.get(index)).refusal();
    }
}
