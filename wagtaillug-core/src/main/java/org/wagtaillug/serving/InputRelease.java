package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.health.EngineTimes;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;

/**
 * Decides when the inputs of a request are released at the stage servers that hold them, as other requests wait for
 * the room.
 *
 * <p>A resumable stream that breaks off has to repeat its steps if its inputs were released. That is rarer than a
 * request that has to wait for room that would otherwise be held until the end of the stream.
 */
final class InputRelease {
    private final FlowSteps steps;
    private final FetchTimes fetchTimes;
    private final PolicyFeatures features;
    private final FlowLog log;

    InputRelease(FlowSteps steps, EngineTimes engines, PolicyFeatures features, FlowLog log) {
        this.steps = steps;
        this.fetchTimes = new FetchTimes(engines);
        this.features = features;
        this.log = log;
    }

    /** Releases the inputs, which an engine has fetched when it starts its answer. */
    void onAnswerStarted(Flow flow, Instant now) {
        fetchTimes.onFirstEvent(flow.pool());
        if (releasesEarly(flow)) {
            release(flow, "first event", now);
        }
    }

    /** Records that the engine did not find an input. */
    void onInputMissing(Flow flow) {
        if (flow.inputsReleased()) {
            fetchTimes.onInputMissing(flow.pool());
        }
    }

    /** Releases the inputs of a request that was sent, once its engine has had enough time to fetch them. */
    void onTick(Flow flow, Instant now) {
        boolean awaitingAnswer = flow.target().isPresent() && !flow.answerStarted() && !flow.inputsReleased();
        if (!awaitingAnswer || !releasesEarly(flow) || !features.uses(PolicyFeature.EARLY_RELEASE)) {
            return;
        }
        Optional<Duration> delay = fetchTimes.releaseDelay(flow.pool(), now);
        if (delay.isPresent() && !now.isBefore(flow.sentAt().plus(delay.get()))) {
            release(flow, "fetched", now);
        }
    }

    private boolean releasesEarly(Flow flow) {
        return !flow.route().resumable() || features.uses(PolicyFeature.RELEASE_OF_RESUMABLE);
    }

    private void release(Flow flow, String reason, Instant now) {
        int released = steps.releaseAll(flow);
        if (released > 0) {
            log.release(flow, reason, released, now);
        }
    }
}
