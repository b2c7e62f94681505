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
    private static final long PATIENCE = 2_000;

    private final ClaimsSession session = ClaimsSession.caughtUp(Claims.builder(ClaimsSession.SELF));

    /**
     * Two nodes take the same deposit. Both appended a claim and both appends were answered well; the second node took
     * that answer for a win, though the other claim stands before its own.
     */
    @Test
    void anAnsweredAppendIsNoWin() {
        session.ask("r1", "deposit", "d", PATIENCE);
        session.appendAnswered();
        assertThat(session.verdicts).isEmpty();

        ClaimRecord own = session.lastAppended();
        session.read(ClaimsSession.claimOf(ClaimsSession.OTHER, "rival", "deposit", "d"), own);
        assertThat(session.verdicts).isEmpty();
    }

    /**
     * A key is appended twice and its first copy is abandoned, but the second stands after it and holds the key for ever.
     * The first append was not answered, and the node appended the same claim again though the first was on its way.
     */
    @Test
    void aClaimThatMayBeOnItsWayIsNotAppendedAgain() {
        session.ask("r1", "deposit", "d", PATIENCE);
        session.appendFails(true);
        session.after(1_500);
        session.read();
        session.tick();

        assertThat(session.appended).hasSize(1);
        assertThat(session.verdicts).isEmpty();

        session.after(PATIENCE);
        session.tick();
        assertThat(refusal().code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
        assertThat(refusal().run()).isEqualTo(RunState.NOT_RUN);
        assertThat(session.claims().idle()).isFalse();
    }

    /** A caller told "not run" finds its table booked: the claim showed on the log after the deadline and was run. */
    @Test
    void aClaimThatShowsAfterItsRequestWasRefusedIsAbandoned() {
        session.ask("r1", "booking", "d", 100);
        ClaimRecord claim = session.lastAppended();
        session.after(100);
        session.read(claim);

        assertThat(refusal().run()).isEqualTo(RunState.NOT_RUN);
        session.appendAnswered();
        assertThat(session.lastAppended()).isEqualTo(new ClaimRecord.Abandoned(claim.key(), claim.claimId()));
    }

    /**
     * A deposit is taken again by a retry an hour later: the log had dropped the first claim, so the key looked new. A
     * caller's clock may be five minutes ahead, so a key's claim may be that much older than the key.
     */
    @Test
    void aKeyIsRefusedWhileItsFirstClaimIsSurelyStillHeld() {
        Instant issuedAt = session.now().plus(KeyAge.LARGEST_LEAD);
        session.after(Duration.ofMinutes(59).minusMillis(1));
        session.tick();
        session.read();
        session.ask("r1", session.key("young", issuedAt), "d", PATIENCE);
        assertThat(session.lastAppended().key()).isEqualTo("office-nord/young");

        session.after(2);
        session.ask("r2", session.key("old", issuedAt), "d", PATIENCE);
        assertThat(refusal().code()).isEqualTo(ResultCode.KEY_TOO_OLD);
    }

    /** The log keeps records for less time than the settings say, and a node that starts then sees an old key as new. */
    @Test
    void aKeyOlderThanTheOldestHeldRecordIsRefused() {
        ClaimsSession late = new ClaimsSession(Claims.builder(ClaimsSession.SELF));
        late.after(Duration.ofMinutes(10));
        late.tick();
        LogRecord oldest = new LogRecord.Unreadable(7);
        late.read(new LogBatch(1, 40, 41, List.of(new LogBatch.Entry(40, late.now(), oldest))));

        late.ask("r1", late.key("old", late.now().minusMillis(1)), "d", PATIENCE);
        late.ask("r2", late.key("new", late.now()), "d", PATIENCE);

        assertThat(late.verdicts).hasSize(1);
        assertThat(late.verdicts.getFirst().request()).isEqualTo(new RequestId("r1"));
        assertThat(late.lastAppended().key()).isEqualTo("office-nord/new");
    }

    /** A node that was paused for longer than the log keeps records has missed claims, and must not act on old ones. */
    @Test
    void recordsThatWereDroppedUnreadEndAllThatWaits() {
        session.read(ClaimsSession.claimOf(ClaimsSession.OTHER, "rival", "held", "d"));
        session.ask("r1", "new", "d", PATIENCE);
        session.ask("r2", "held", "d", PATIENCE);
        session.after(500);

        session.read(new LogBatch(3, 40, 40, List.of()));

        assertThat(session.verdicts).hasSize(2);
        assertThat(refusalOf(0).run()).isEqualTo(RunState.NOT_RUN);
        assertThat(refusalOf(1).run()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aKeyFromTheFutureIsMalformed() {
        session.ask("r1", session.key("k", session.now().plusSeconds(301)), "d", PATIENCE);

        assertThat(refusal().code()).isEqualTo(ResultCode.MALFORMED);
    }

    @Test
    void aRequestWhoseDeadlineHasPassedMakesNoClaim() {
        session.ask("r1", "k", "d", 0);

        assertThat(refusal().code()).isEqualTo(ResultCode.DEADLINE_PASSED);
        assertThat(session.appended).isEmpty();
    }

    @Test
    void theHolderIsNoLongerAMember() {
        ClaimsSession alone =
                ClaimsSession.caughtUp(Claims.builder(ClaimsSession.SELF).members(node -> false));
        alone.read(ClaimsSession.claimOf(ClaimsSession.OTHER, "rival", "k", "d"));

        alone.ask("r1", "k", "d", PATIENCE);

        Refusal refusal = ((Verdict.Refused) alone.verdicts.getFirst()).refusal();
        assertThat(refusal.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(refusal.run()).isEqualTo(RunState.UNKNOWN);
    }

    /** A silent log is down too: reads are neither answered nor refused. What is known already is still told. */
    @Test
    void aLogThatDoesNotAnswerIsDownButRecordedOutcomesAreRepeated() {
        ClaimRecord.Claimed rival = ClaimsSession.claimOf(ClaimsSession.OTHER, "rival", "k", "d");
        session.read(
                rival, new ClaimRecord.Settled(rival.key(), "rival", ResultCode.SERVED, RunState.RUN, Payload.of("1")));
        session.after(ClaimReader.READ_TIMEOUT);
        session.tick();

        session.ask("r1", "k", "d", PATIENCE);
        session.ask("r2", "other", "d", PATIENCE);

        assertThat(session.verdicts.getFirst()).isInstanceOf(Verdict.Recorded.class);
        assertThat(refusal().code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
        assertThat(session.appended).isEmpty();
    }

    /**
     * A guest books; the node dies in the middle, and then the log goes down. The guest asks another node with the same key.
     * "Not run" would be false if the first node had booked, and this one cannot see it. Only of a key that was just made
     * can it say so.
     */
    @Test
    void anOlderKeyIsNotSaidNotToHaveRunWhileTheLogCannotBeRead() {
        session.read(ClaimsSession.claimOf(ClaimsSession.OTHER, "rival", "k", "d"));
        session.after(ClaimReader.READ_TIMEOUT);
        session.tick();

        session.ask("r1", session.key("just-made", session.now()), "d", PATIENCE);
        assertThat(refusal().run()).isEqualTo(RunState.NOT_RUN);
        session.ask("r2", session.key("asked-before", session.now().minusSeconds(5)), "d", PATIENCE);
        assertThat(refusal().code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
        assertThat(refusal().run()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aLateAnswerToAnOldReadIsNotTakenInTwice() {
        LogBatch batch = new LogBatch(
                1, 1, 2, List.of(new LogBatch.Entry(1, session.now(), new LogRecord.ClaimBatch(List.of()))));
        session.read(batch);
        session.read(batch);
        session.read(new ClaimRecord.Abandoned("k", "c"));

        assertThat(session.transcript()).contains("read from 2").doesNotContain("read from 4");
    }

    @Test
    void oneAppendAtATimeHoldsAllThatWaitsBelowTheLargestSize() {
        session.ask("r0", "key-0", "d", 60_000);
        for (int index = 1; index <= 1_000; index++) {
            session.ask("r" + index, "key-" + index, "d", 60_000);
        }
        assertThat(session.appended).hasSize(1);

        List<Integer> sizes = new ArrayList<>();
        while (sizes.stream().mapToInt(Integer::intValue).sum() < 1_001) {
            sizes.add(session.appended.getLast().claims().size());
            session.after(5);
            session.appendAnswered();
        }
        assertThat(sizes).containsExactly(1, 834, 166);
    }

    /** Nine nodes under load must leave room for one another: the log takes several hundred appends a second. */
    @Test
    void appendsAreLimitedToTheNodesShare() {
        for (int millis = 0; millis < 10_000; millis += 5) {
            session.ask("r" + millis, "key-" + millis, "d", 60_000);
            session.tick();
            session.appendAnswered();
            session.read();
            session.after(5);
        }

        assertThat(session.appended.size()).isBetween(300, 310);
    }

    @Test
    void anAnswerThatIsTooLargeToBeKeptIsRecordedAsRun() {
        session.ask("r1", "k", "d", PATIENCE);
        session.read(session.lastAppended());
        session.appendAnswered();
        session.after(10);
        Payload large = Payload.wrap(new byte[ClaimWriter.LARGEST_OUTPUT + 1]);

        session.settled("r1", ResultCode.SERVED, RunState.RUN, large);

        ClaimRecord.Settled settled = (ClaimRecord.Settled) session.lastAppended();
        assertThat(settled.code()).isEqualTo(ResultCode.TOO_LARGE);
        assertThat(settled.run()).isEqualTo(RunState.RUN);
        assertThat(settled.output()).isEqualTo(Payload.EMPTY);
    }

    @Test
    void isIdleOnceTheOutcomeIsWritten() {
        assertThat(session.claims().idle()).isTrue();
        session.ask("r1", "k", "d", PATIENCE);
        session.read(session.lastAppended());
        session.appendAnswered();
        assertThat(session.claims().idle()).isFalse();
        session.after(10);
        session.settled("r1", ResultCode.SERVED, RunState.RUN, Payload.EMPTY);
        assertThat(session.claims().idle()).isFalse();
        session.appendAnswered();
        assertThat(session.claims().idle()).isTrue();
    }

    @Test
    void refusesARequestIdThatIsInUse() {
        session.ask("r1", "k", "d", PATIENCE);

        assertThatThrownBy(() -> session.ask("r1", "k", "d", PATIENCE)).hasMessageContaining("request r1 has asked");
        assertThatThrownBy(() -> Claims.builder(ClaimsSession.SELF).retention(Duration.ofMinutes(1)))
                .hasMessageContaining("expected at least PT10M");
    }

    private Refusal refusal() {
        return refusalOf(session.verdicts.size() - 1);
    }

    private Refusal refusalOf(int index) {
        return ((Verdict.Refused) session.verdicts.get(index)).refusal();
    }
}
