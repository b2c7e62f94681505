package org.wagtaillug.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

class DispatcherTest {
    private static final AttemptEnd CONNECTION_RESET = new AttemptEnd.Failed(true, "connection reset");
    private static final AttemptEnd CONNECTION_REFUSED = new AttemptEnd.Failed(false, "connection refused");

    @Test
    void aDraftWithASlowAttemptAndABookingAreServedAsInTheGoldenFile() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.upstreams.typicalDuration = Optional.of(Duration.ofMillis(50));
        harness.arrive("draft", "menu-draft")
                .complete("draft", "encode", 1)
                .advance(60)
                .complete("draft", "retrieve", 3)
                .end("draft", "retrieve", 2, CONNECTION_RESET)
                .complete("draft", "rerank", 4)
                .end("draft", "generate", 5, CONNECTION_RESET)
                .complete("draft", "generate", 6)
                .arrive("table", "booking")
                .claimWon("table")
                .complete("table", "book", 1);
        assertThat(String.join("\n", harness.lines) + "\n")
                .isEqualTo(DispatcherHarness.golden("dispatch-draft-and-booking.txt"));
    }

    @Test
    void aLateAnswerOfTheSlowAttemptIsDropped() {
        // Guards against accepting a response without checking which attempt it belongs to. A stage is slow, its hedged
        // attempt wins and the request moves on; the late response of the first attempt would then be taken as the
        // output of the next stage.
        DispatcherHarness harness = new DispatcherHarness();
        harness.upstreams.typicalDuration = Optional.of(Duration.ofMillis(50));
        harness.arrive("draft", "menu-draft").advance(60).complete("draft", "encode", 2);
        harness.end("draft", "encode", 1, new AttemptEnd.Completed(Payload.of("\"late\"")));
        assertThat(harness.started()).isEmpty();
        harness.complete("draft", "encode", 1);
        assertThat(harness.dispatcher.unmatchedEvents()).isEqualTo(1);
    }

    @Test
    void aBookingWhoseConnectionBreaksAfterAByteLeftIsNotSentAgain() {
        // Guards against a double booking: the connection breaks before the response, and the upstream may have booked.
        // The outcome is reported as unknown and recorded for retries with the same key.
        DispatcherHarness harness = new DispatcherHarness();
        harness.arrive("table", "booking").claimWon("table").end("table", "book", 1, CONNECTION_RESET);
        assertThat(harness.started()).isEmpty();
        assertThat(harness.refused().orElseThrow().refusal().run()).isEqualTo(RunState.UNKNOWN);
        assertThat(harness.lines).contains("  < settle table OUTCOME_UNKNOWN unknown");
    }

    @Test
    void aBookingThatWasNeverSentIsRetriedOnAnotherServerAndAbandonedWhenNoneAcceptsIt() {
        // Every upstream refuses connections. Nothing was sent, so it is safe to try the next one, and "not run" is
        // correct.
        DispatcherHarness harness = new DispatcherHarness();
        harness.arrive("table", "booking").claimWon("table");
        harness.end("table", "book", 1, CONNECTION_REFUSED);
        assertThat(harness.started()).hasSize(1);
        harness.end("table", "book", 2, CONNECTION_REFUSED).end("table", "book", 3, CONNECTION_REFUSED);
        assertThat(harness.refused().orElseThrow().refusal().run()).isEqualTo(RunState.NOT_RUN);
        assertThat(harness.lines).contains("  < abandon table");
    }

    @Test
    void aBookingThatAnotherNodeMayBeRunningIsNotReportedAsNotRun() {
        // Guards against a double booking: a retry reaches a second node while the first is still executing the key. At
        // the retry's deadline the second node does not know the outcome yet, and "not run" would let the caller book
        // again under a new key.
        DispatcherHarness harness = new DispatcherHarness();
        harness.arrive("table", "booking").advance(10_001);
        assertThat(harness.refused()).isEmpty();
        harness.dispatcher.onCallerDisconnected(new RequestId("table"), harness.now(), harness.effects);
        harness.advance(1);
        assertThat(harness.refused().orElseThrow().refusal().run()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aBookingThatCompletesAfterItsDeadlineIsRecordedForRetries() {
        // Guards against a double booking: the outcome was reported as unknown at the deadline, and the confirmation
        // arrives later. A retry with the same key must receive it, or the caller would book a second table under a new
        // key.
        DispatcherHarness harness = new DispatcherHarness();
        harness.arrive("table", "booking").claimWon("table").advance(10_000);
        assertThat(harness.refused().orElseThrow().refusal().run()).isEqualTo(RunState.UNKNOWN);
        harness.complete("table", "book", 1);
        assertThat(harness.lines).contains("  < settle table SERVED run");
    }

    @Test
    void aRequestWithoutAnUpstreamInServiceIsRefusedAtOnceAsNotRun() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.upstreams.outOfService.add(new VmId("encode-1"));
        harness.upstreams.outOfService.add(new VmId("encode-2"));
        harness.arrive("draft", "menu-draft");
        assertThat(harness.refused().orElseThrow().refusal().code()).isEqualTo(ResultCode.NO_UPSTREAM);
        assertThat(harness.refused().orElseThrow().refusal().run()).isEqualTo(RunState.NOT_RUN);
        assertThat(harness.refused().orElseThrow().refusal().retryAfter()).isPositive();
    }

    @Test
    void aQueuedRequestIsRefusedWhenItsPoolGoesOutOfService() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.arrive("one", "menu-draft").arrive("two", "menu-draft").arrive("three", "menu-draft");
        harness.upstreams.outOfService.add(new VmId("encode-1"));
        harness.upstreams.outOfService.add(new VmId("encode-2"));
        harness.advance(10);
        assertThat(harness.refused().orElseThrow().request().value()).isEqualTo("three");
        assertThat(harness.refused().orElseThrow().refusal().run()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void aRequestThatCannotMakeItsDeadlineIsRefusedOnArrival() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.upstreams.typicalDuration = Optional.of(Duration.ofSeconds(4));
        harness.arrive("draft", "menu-draft");
        assertThat(harness.refused().orElseThrow().refusal().code()).isEqualTo(ResultCode.DEADLINE_CANNOT_BE_MET);
    }

    @Test
    void aStalledAttemptIsCancelledAndRetriedOnAnotherUpstream() {
        // Guards against a connection that goes dead without an error. The attempt makes no progress, is cancelled, and
        // is retried on another upstream long before the deadline.
        DispatcherHarness harness = new DispatcherHarness();
        harness.arrive("draft", "menu-draft");
        harness.upstreams.allStalled = true;
        harness.advance(1000);
        harness.upstreams.allStalled = false;
        harness.end("draft", "encode", 1, CONNECTION_RESET);
        assertThat(harness.started()).hasSize(1);
        assertThat(harness.upstreams.finishes).contains("encode-1 FAILED");
    }

    /** Guards against treating a cancelled request as ended while its upstream still works on it. */
    @ParameterizedTest
    @CsvSource({"true, encode-1 ABANDONED", "false, encode-1 CANCELLED"})
    void aCancelledAttemptMayStillRunIfAByteOfItMayHaveBeenSent(boolean byteLeft, String finish) {
        DispatcherHarness harness = new DispatcherHarness();
        harness.arrive("draft", "menu-draft");
        harness.disconnect("draft");
        harness.end("draft", "encode", 1, new AttemptEnd.Failed(byteLeft, "cancelled"));
        assertThat(harness.upstreams.finishes).containsExactly(finish);
    }

    /**
     * Guards against responses that are cut off by a shutdown: a node has 5.9 s left and the three remaining stages
     * usually take 6 s. If the next stage started, the text would be cut off at the end of the grace period and the
     * work of the engines wasted. Refused before its text begins, the caller can retry on another node at once.
     */
    @Test
    void noStageStartsWhenTheRemainingTimeDoesNotCoverTheUsualTimeOfTheStages() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.upstreams.typicalDuration = Optional.of(Duration.ofSeconds(2));
        harness.arrive("draft", "menu-draft");
        harness.drain.start(harness.now());
        harness.advance(1_700).complete("draft", "encode", 1);
        assertThat(harness.started()).isEmpty();
        assertThat(harness.refused().orElseThrow().refusal().code()).isEqualTo(ResultCode.SHUTTING_DOWN);
    }

    @Test
    void noHedgeStartsWhenTheRemainingTimeDoesNotCoverIt() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.arrive("draft", "menu-draft");
        harness.drain.start(harness.now());
        harness.advance(7_500);
        harness.upstreams.typicalDuration = Optional.of(Duration.ofMillis(50));
        harness.advance(10);
        assertThat(harness.started()).isEmpty();
    }

    /**
     * Guards against interrupting a non-idempotent request: a booking is queued when its node starts to shut down, and
     * its deadline lies after the end of the grace period. If it stayed in the queue, it might be sent late and be
     * interrupted; refused at once as not run, its key can be claimed by another node.
     */
    @Test
    void aQueuedBookingIsRefusedWhenTheRemainingTimeDoesNotCoverIt() {
        DispatcherHarness harness = new DispatcherHarness();
        for (String table : List.of("one", "two", "three")) {
            harness.arrive(table, "booking").claimWon(table);
        }
        harness.drain.start(harness.now());
        harness.advance(10);
        assertThat(harness.refused().orElseThrow().request().value()).isEqualTo("three");
        assertThat(harness.refused().orElseThrow().refusal().run()).isEqualTo(RunState.NOT_RUN);
        assertThat(harness.lines).contains("  < abandon three");
    }

    @Property(tries = 100, seed = "20261201")
    void aPoolThatFailsCompletelyGetsAtMostAFifthMoreAttemptsThanRequests(@ForAll long seed) {
        // Guards against retry storms: all upstreams of a pool are down, and with three attempts per request the pool
        // would face three times its load when it recovers. The retry budget limits attempts to 1.2 per request, plus
        // the few retries saved up.
        RandomGenerator random = new SplittableRandom(seed);
        DispatcherHarness harness = new DispatcherHarness();
        harness.upstreams.allowance = 1000;
        int requests = 200;
        int attempts = 0;
        List<Attempt> open = new ArrayList<>();
        for (int number = 0; number < requests; number++) {
            harness.arrive("r" + number, "menu-draft");
            open.addAll(harness.started());
            while (!open.isEmpty() && random.nextInt(3) > 0) {
                Attempt failing = open.remove(random.nextInt(open.size()));
                attempts++;
                harness.end(
                        failing.id().request().value(), "encode", failing.id().number(), CONNECTION_RESET);
                open.addAll(harness.started());
            }
        }
        while (!open.isEmpty()) {
            Attempt failing = open.remove(0);
            attempts++;
            harness.end(failing.id().request().value(), "encode", failing.id().number(), CONNECTION_RESET);
            open.addAll(harness.started());
        }
        assertThat(attempts).isLessThanOrEqualTo((int) (1.2 * requests + 5));
        assertThat(harness.dispatcher.idle()).isTrue();
    }

    @Property(tries = 200, seed = "20261202")
    void everyRequestGetsOneAnswerAndNotRunIsCorrect(@ForAll long seed) {
        // Attempts end randomly and in random order, deadlines pass and callers disconnect: each request is answered
        // exactly once, and no request that was answered "not run" had an attempt that may have reached an upstream.
        RandomGenerator random = new SplittableRandom(seed);
        DispatcherHarness harness = new DispatcherHarness(new DispatchLimits(6, 0.2, 0.5));
        harness.upstreams.typicalDuration = Optional.of(Duration.ofMillis(40));
        AnswerAudit audit = new AnswerAudit();
        List<Attempt> open = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            randomStep(harness, random, open, audit, step);
            open.addAll(harness.started());
            audit.onEffects(harness.lastEffects);
        }
        for (int wait = 0; wait < 20; wait++) {
            harness.advance(1000);
            audit.onEffects(harness.lastEffects);
            open.addAll(harness.started());
            for (Attempt attempt : List.copyOf(open)) {
                open.remove(attempt);
                finish(harness, attempt, CONNECTION_RESET, audit);
                open.addAll(harness.started());
                audit.onEffects(harness.lastEffects);
            }
        }
        assertThat(audit.problems()).isEmpty();
        assertThat(harness.dispatcher.idle()).isTrue();
    }

    private static void randomStep(
            DispatcherHarness harness, RandomGenerator random, List<Attempt> open, AnswerAudit audit, int step) {
        int choice = random.nextInt(10);
        if (choice < 3) {
            audit.arrived("r" + step);
            harness.arrive("r" + step, random.nextInt(4) == 0 ? "booking" : "menu-draft");
            if (harness.lines.getLast().startsWith("  < claim")) {
                harness.claimWon("r" + step);
            }
            return;
        }
        if (choice < 8 && !open.isEmpty()) {
            Attempt attempt = open.remove(random.nextInt(open.size()));
            finish(harness, attempt, end(random), audit);
            return;
        }
        harness.advance(random.nextInt(200));
    }

    private static void finish(DispatcherHarness harness, Attempt attempt, AttemptEnd end, AnswerAudit audit) {
        audit.attemptEnded(attempt, end);
        harness.end(
                attempt.id().request().value(),
                attempt.stage().id().value(),
                attempt.id().number(),
                end);
    }

    private static AttemptEnd end(RandomGenerator random) {
        return switch (random.nextInt(8)) {
            case 0 -> CONNECTION_RESET;
            case 1 -> CONNECTION_REFUSED;
            case 2 -> new AttemptEnd.Overloaded();
            case 3 -> new AttemptEnd.NotStarted();
            default -> new AttemptEnd.Completed(Payload.of("1"));
        };
    }
}
