package org.wagtaillug.serving;

import java.time.Duration;
import java.util.function.Consumer;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;

/** Refuses requests that are not taken in: those that the configuration does not allow, and those that come too late. */
final class ArrivalRefusals {
    private final Consumer<ServingEffect> effects;
    private final FlowLog log;

    ArrivalRefusals(Consumer<ServingEffect> effects, FlowLog log) {
        this.effects = effects;
        this.log = log;
    }

    /** Refuses a request that matches no route of a version of the configuration, or whose id is in use. */
    void refuseUnrouted(RoutedRequest request, ResultCode code, String message, long configuration) {
        log.denied(request, code, configuration);
        effects.accept(new ServingEffect.Refuse(request.id(), Refusal.notRun(code, Duration.ZERO, message)));
        if (code != ResultCode.REQUEST_IN_FLIGHT) {
            finish(request, RequestFlows.NO_ROUTE);
        }
    }

    /** Refuses a request that cannot be answered in the time left until shutdown. */
    void refuseAtShutdown(Flow flow, Duration needed, Duration sinceSignal) {
        log.refusedAtShutdown(flow, needed, sinceSignal);
        Refusal refusal = Refusal.notRun(ResultCode.SHUTTING_DOWN, Duration.ZERO, RequestFlows.SHUTTING_DOWN_MESSAGE);
        effects.accept(new ServingEffect.Refuse(flow.request().id(), refusal));
        finish(flow.request(), flow.route().id().value());
    }

    private void finish(RoutedRequest request, String route) {
        effects.accept(new ServingEffect.Finished(request.id(), route, ServingEffect.Outcome.REFUSED, Duration.ZERO));
    }

    /** The code of a request one of whose steps was not made. */
    static ResultCode codeOf(BatchOutcome.Reason reason) {
        return switch (reason) {
            case OVERLOADED -> ResultCode.STEP_OVERLOADED;
            case LATE -> ResultCode.DEADLINE_CANNOT_BE_MET;
            case FAILED, INPUTS_GONE -> ResultCode.STEP_FAILED;
            case NO_UPSTREAM -> ResultCode.NO_UPSTREAM;
        };
    }
}
