package org.wagtaillug.dispatch;

import org.wagtaillug.node.Decision;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.routing.Choice;

/** Builds the log entries of the dispatcher's decisions. */
final class DispatchDecisions {
    private DispatchDecisions() {}

    /**
     * An attempt was started.
     *
     * @param kind {@code route} for the first attempt of a stage and for retries, {@code hedge} for a hedged attempt
     */
    static Decision started(String kind, Attempt attempt, Choice choice) {
        Decision.Builder builder = Decision.builder(kind)
                .field("request", attempt.id().request())
                .field("stage", attempt.stage().id())
                .field("attempt", attempt.id().number())
                .field("upstream", attempt.upstream().id())
                .field("send_before", attempt.sendDeadline())
                .field("reason", choice.reason());
        for (String alternative : choice.alternatives()) {
            builder.alternative(alternative);
        }
        return builder.build();
    }

    /** A request was refused. */
    static Decision refused(Request request, Refusal refusal) {
        return Decision.builder("refuse")
                .field("request", request.id())
                .field("customer", request.customer())
                .field("template", request.template())
                .field("code", refusal.code().number())
                .field("run", refusal.run().text())
                .field("reason", refusal.message())
                .build();
    }
}
