package org.wagtaillug.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.drain.GracePeriod;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** What callers observe while a node shuts down. */
class NodeDrainTest {
    private static final Duration GRACE = Duration.ofSeconds(4);
    private static final Duration LAST_ANSWER_AFTER = GRACE.minus(GracePeriod.exitReserve(GRACE));
    private static final Duration LONG_DEADLINE = Duration.ofSeconds(60);
    private static final Duration SHORT_TIME = Duration.ofMillis(100);

    private final NodeHarness harness = new NodeHarness(GRACE);

    /**
     * The grace period ended while a request was in flight at a slow upstream, before the request's deadline. The end
     * of the drain answered nobody: the caller's connection was closed without an answer, and the caller could not tell
     * a lost node from a lost request.
     */
    @Test
    void aDraftInFlightAtTheEndOfTheGraceIsAnswered() {
        RequestId draft = harness.submit("r", NodeHarness.DRAFT, LONG_DEADLINE);
        harness.signalShutdown();
        harness.advance(GRACE);
        assertThat(harness.finishedAt).isPresent();
        Refusal refusal = harness.refusal(draft);
        assertThat(refusal.code()).isEqualTo(ResultCode.SHUTTING_DOWN);
        assertThat(refusal.run()).isEqualTo(RunState.UNKNOWN);
        assertThat(harness.running).isEmpty();
    }

    /**
     * The same with a request that must run once. It may have taken effect or take effect later; a caller without an
     * answer would run it elsewhere under a new key.
     */
    @Test
    void aBookingInFlightAtTheEndOfTheGraceIsReportedAsUnknown() {
        RequestId booking = harness.submit("r", NodeHarness.BOOKING, LONG_DEADLINE);
        harness.advance(SHORT_TIME);
        assertThat(harness.running).hasSize(1);
        harness.signalShutdown();
        harness.advance(GRACE);
        assertThat(harness.refusal(booking).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(harness.refusal(booking).run()).isEqualTo(RunState.UNKNOWN);
    }

    /**
     * The grace period ended while a request waited for its claim, which the log had accepted but not yet returned.
     * Nothing was sent, but without an answer the caller could not retry safely.
     */
    @Test
    void aBookingThatWaitsForItsClaimAtTheEndOfTheGraceIsReportedAsNotRun() {
        harness.claimsHidden = true;
        RequestId booking = harness.submit("r", NodeHarness.BOOKING, LONG_DEADLINE);
        harness.advance(SHORT_TIME);
        harness.signalShutdown();
        harness.advance(GRACE);
        assertThat(harness.refusal(booking).code()).isEqualTo(ResultCode.SHUTTING_DOWN);
        assertThat(harness.refusal(booking).run()).isEqualTo(RunState.NOT_RUN);
        harness.claimsHidden = false;
        harness.advance(SHORT_TIME);
        assertThat(harness.started).isEmpty();
    }

    /**
     * The load balancer still sends requests in the first seconds after the signal. A request whose deadline is after
     * the end of the grace period would be given up when the process exits; if it is refused at once, another node can
     * serve it. Guards against deciding by the time since the signal instead of the time that is left.
     */
    @Test
    void aRequestWhoseDeadlineIsAfterTheEndOfTheGraceIsRefusedAtOnce() {
        harness.signalShutdown();
        harness.advance(SHORT_TIME);
        for (String template : List.of(NodeHarness.DRAFT, NodeHarness.BOOKING)) {
            RequestId late = harness.submit("late-" + template, template, LAST_ANSWER_AFTER);
            assertThat(harness.refusal(late).code()).isEqualTo(ResultCode.SHUTTING_DOWN);
            assertThat(harness.refusal(late).run()).isEqualTo(RunState.NOT_RUN);
        }
        assertThat(harness.started).isEmpty();
    }

    @Test
    void aRequestThatFitsIntoTheRemainingTimeIsServedUntilTheBalancerHasNoticed() {
        harness.signalShutdown();
        harness.advance(SHORT_TIME);
        RequestId draft = harness.submit("r", NodeHarness.DRAFT, LAST_ANSWER_AFTER.minus(SHORT_TIME));
        harness.complete();
        harness.complete();
        assertThat(harness.served(draft)).isTrue();
    }

    /**
     * A request that must run once arrived just before the signal and its claim won after it. The time left may be too
     * short for the upstream; the outcome would then be unknown to its caller and to every later request with the key,
     * since the node that holds the key is gone. Nothing was sent yet, so it is refused as not run and another node can
     * run it with the same key.
     */
    @Test
    void aBookingIsNotSentWhenTheRemainingTimeIsTooShort() {
        harness.claimsHidden = true;
        RequestId booking = harness.submit("r", NodeHarness.BOOKING, LONG_DEADLINE);
        harness.advance(SHORT_TIME);
        harness.signalShutdown();
        harness.claimsHidden = false;
        harness.advance(SHORT_TIME);
        assertThat(harness.started).isEmpty();
        assertThat(harness.refusal(booking).code()).isEqualTo(ResultCode.SHUTTING_DOWN);
        assertThat(harness.refusal(booking).run()).isEqualTo(RunState.NOT_RUN);
        harness.advance(SHORT_TIME);
        assertThat(harness.hasClaimRecord(ClaimRecord.Abandoned.class)).isTrue();
    }

    /**
     * A request that must run once and whose connection failed has not been sent either, so no second attempt is
     * started that could be cut off.
     */
    @Test
    void aBookingThatWasNotSentIsNotRetriedWhenTheRemainingTimeIsTooShort() {
        RequestId booking = harness.submit("r", NodeHarness.BOOKING, LONG_DEADLINE);
        harness.advance(SHORT_TIME);
        harness.signalShutdown();
        harness.end(harness.started.getFirst(), new AttemptEnd.Failed(false, "connection refused"));
        assertThat(harness.started).hasSize(1);
        assertThat(harness.refusal(booking).run()).isEqualTo(RunState.NOT_RUN);
    }

    /**
     * An idempotent request that was started before the signal continues through its stages, whatever its deadline:
     * each stage usually takes a fraction of it, a second run does no harm, and a refusal between two stages would
     * certainly lose the work done.
     */
    @Test
    void aDraftThatWasStartedContinuesThroughItsStages() {
        RequestId draft = harness.submit("r", NodeHarness.DRAFT, LONG_DEADLINE);
        harness.signalShutdown();
        harness.advance(SHORT_TIME);
        harness.complete();
        harness.advance(SHORT_TIME);
        harness.complete();
        assertThat(harness.served(draft)).isTrue();
    }

    @Test
    void newRequestsAreRefusedAfterTheDrainHasFinished() {
        for (Duration grace : List.of(Duration.ofSeconds(1), GRACE, Duration.ofSeconds(30))) {
            NodeHarness drained = new NodeHarness(grace);
            drained.signalShutdown();
            while (drained.finishedAt.isEmpty()) {
                drained.advance(SHORT_TIME);
            }
            RequestId late = drained.submit("late", NodeHarness.DRAFT, Duration.ofMillis(10));
            assertThat(drained.refusal(late).code()).isEqualTo(ResultCode.SHUTTING_DOWN);
            assertThat(drained.refusal(late).run()).isEqualTo(RunState.NOT_RUN);
        }
    }

    /**
     * Random requests arrive before and after the signal and end in random ways or not at all. At the end of the grace
     * period each one has had exactly one answer, and none that was refused as not run was sent.
     */
    @Property(tries = 150, seed = "20261203")
    void everyRequestGetsOneCorrectAnswerBeforeTheGraceIsOver(@ForAll long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        Duration grace = Duration.ofMillis(500 + random.nextInt(8_000));
        NodeHarness simulated = new NodeHarness(grace);
        List<RequestId> requests = new ArrayList<>();
        Instant signal = simulated.now.plusMillis(random.nextInt(2_000));
        Instant killed = signal.plus(grace);
        boolean signalled = false;
        while (simulated.now.isBefore(killed)) {
            if (!signalled && !simulated.now.isBefore(signal)) {
                signalled = true;
                simulated.signalShutdown();
            }
            simulated.claimsHidden = random.nextInt(8) == 0;
            randomStep(simulated, random, requests);
            simulated.advance(Duration.ofMillis(10L * (1 + random.nextInt(5))));
        }
        assertThat(simulated.finishedAt).as("seed %d", seed).isPresent();
        for (RequestId request : requests) {
            assertThat(simulated.timesAnswered)
                    .as("seed %d, request %s", seed, request)
                    .containsEntry(request, 1);
            if (simulated.answers.get(request) instanceof Effect.AnswerRefused refused
                    && refused.refusal().run() == RunState.NOT_RUN) {
                assertThat(simulated.started)
                        .as("seed %d, refused as not run", seed)
                        .noneMatch(attempt -> attempt.request().equals(request));
            }
        }
    }

    private static void randomStep(NodeHarness harness, RandomGenerator random, List<RequestId> requests) {
        int choice = random.nextInt(10);
        if (choice < 4) {
            String template = random.nextInt(3) == 0 ? NodeHarness.BOOKING : NodeHarness.DRAFT;
            requests.add(
                    harness.submit("r" + requests.size(), template, Duration.ofMillis(50 + random.nextInt(12_000))));
            return;
        }
        if (choice < 7 && !harness.running.isEmpty()) {
            List<AttemptId> running = List.copyOf(harness.running.keySet());
            AttemptId attempt = running.get(random.nextInt(running.size()));
            harness.end(
                    attempt,
                    random.nextInt(5) == 0
                            ? new AttemptEnd.Failed(true, "connection reset")
                            : new AttemptEnd.Completed(Payload.of("1")));
        }
    }
}
