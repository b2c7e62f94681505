package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.batch.PieceOrder.Urgency;
import org.wagtaillug.route.PieceContract;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;

/** By when a step has to be made so that what follows it still fits before the aim and the deadline. */
final class StepTimes {
    /** Engines read 31 to 50 prompt tokens a millisecond alone; beside others about two thirds of that. */
    private static final int TOKENS_PER_MILLI = 20;

    /** Connection, admission to the running batch and the first token of an idle engine. */
    private static final Duration ENGINE_START = Duration.ofMillis(60);

    private StepTimes() {}

    static Urgency urgency(Flow flow, Step step, ServingConfiguration configuration) {
        Duration rest = afterStep(flow, step, configuration)
                .plus(ENGINE_START)
                .plusMillis(flow.request().promptTokens() / TOKENS_PER_MILLI);
        Instant aim = flow.arrivedAt().plus(flow.route().aim()).minus(rest);
        return new Urgency(flow.rank(), aim, flow.beginBy().minus(rest));
    }

    /** The longest way through the steps that follow one. */
    private static Duration afterStep(Flow flow, Step step, ServingConfiguration configuration) {
        Duration longest = Duration.ZERO;
        for (Step next : flow.steps()) {
            if (next.after().contains(step.number())) {
                Duration way = duration(flow, next, configuration).plus(afterStep(flow, next, configuration));
                longest = way.compareTo(longest) > 0 ? way : longest;
            }
        }
        return longest;
    }

    private static Duration duration(Flow flow, Step step, ServingConfiguration configuration) {
        int pieces = flow.request().piecesOf(step.number());
        return configuration
                .pool(step.pool())
                .flatMap(pool -> pool.pieces())
                .map(contract -> fullCall(contract, pieces))
                .orElse(Duration.ZERO);
    }

    /** Calls are full when it matters. */
    private static Duration fullCall(PieceContract contract, int pieces) {
        return contract.callOf(Math.max(contract.batch(), pieces));
    }
}
