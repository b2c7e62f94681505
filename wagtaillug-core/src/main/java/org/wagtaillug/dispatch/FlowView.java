package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;

/**
 * The state of a request in flight, for the administration interface.
 *
 * @param request the id of the request
 * @param customer the customer who sent it
 * @param template the template that it runs
 * @param templateVersion the version of the template
 * @param stage the current stage
 * @param state waiting, claiming or running
 * @param attempts the number of attempts started so far
 * @param ageMillis the time since its arrival
 * @param millisLeft the time until its deadline
 */
public record FlowView(
        String request,
        String customer,
        String template,
        long templateVersion,
        String stage,
        String state,
        int attempts,
        long ageMillis,
        long millisLeft) {
    /** Captures the current state of a request. */
    static FlowView of(RequestFlow flow, Instant now) {
        return new FlowView(
                flow.request().id().value(),
                flow.request().customer().value(),
                flow.request().template().value(),
                flow.template().version(),
                flow.stage().id().value(),
                flow.waiting() ? "waiting" : flow.awaitingClaim() ? "claiming" : "running",
                flow.attempts(),
                Duration.between(flow.arrivedAt(), now).toMillis(),
                flow.remainingTime(now).toMillis());
    }
}
