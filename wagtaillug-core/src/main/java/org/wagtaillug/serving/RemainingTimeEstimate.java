package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.drain.AnswerTimes;
import org.wagtaillug.route.RouteKind;

/** Estimates the time that a request still needs, from the answers of its route, for a node that shuts down. */
final class RemainingTimeEstimate {
    private final AnswerTimes answerTimes = new AnswerTimes();

    /** Adds a request that was answered completely, or whose answer lasted until its deadline. */
    void onAnswered(Flow flow, Instant now) {
        answerTimes.onAnswered(
                flow.route().id(), Duration.between(flow.arrivedAt(), now), Duration.between(flow.sentAt(), now), now);
    }

    Duration fromArrival(Flow flow, Instant now) {
        return estimate(answerTimes.fromArrival(flow.route().id(), now), flow, now);
    }

    Duration fromSending(Flow flow, Instant now) {
        return estimate(answerTimes.fromSending(flow.route().id(), now), flow, now);
    }

    /**
     * Limits the estimate to the time until the deadline. Without measurements the latency target is used, except for
     * streams: their latency target says nothing about their length.
     */
    private static Duration estimate(Optional<Duration> typical, Flow flow, Instant now) {
        Duration remaining = Duration.between(now, flow.deadline());
        boolean stream = flow.route().kind() == RouteKind.STREAM;
        Duration expected = typical.orElse(stream ? remaining : flow.route().latencyTarget());
        return expected.compareTo(remaining) < 0 ? expected : remaining;
    }
}
