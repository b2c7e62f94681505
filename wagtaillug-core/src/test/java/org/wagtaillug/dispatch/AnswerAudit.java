package org.wagtaillug.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wagtaillug.node.Effect;
import org.wagtaillug.result.RunState;

/**
 * Records which requests arrived, how they were answered and which may have reached an upstream, and checks these
 * against each other.
 */
final class AnswerAudit {
    private final Set<String> arrived = new HashSet<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private final Set<String> mayHaveRun = new HashSet<>();
    private final Set<String> reportedNotRun = new HashSet<>();

    void arrived(String request) {
        arrived.add(request);
    }

    void attemptEnded(Attempt attempt, AttemptEnd end) {
        boolean reached =
                end instanceof AttemptEnd.Completed || end instanceof AttemptEnd.Failed failed && failed.byteLeft();
        if (reached) {
            mayHaveRun.add(attempt.id().request().value());
        }
    }

    void onEffects(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.AnswerServed served) {
                answers.merge(served.request().value(), 1, Integer::sum);
            }
            if (effect instanceof Effect.AnswerRefused refused) {
                answers.merge(refused.request().value(), 1, Integer::sum);
                if (refused.refusal().run() == RunState.NOT_RUN) {
                    reportedNotRun.add(refused.request().value());
                }
            }
        }
    }

    List<String> problems() {
        List<String> problems = new ArrayList<>();
        for (String request : arrived) {
            if (answers.getOrDefault(request, 0) != 1) {
                problems.add(request + " was answered " + answers.getOrDefault(request, 0) + " times");
            }
            if (reportedNotRun.contains(request) && mayHaveRun.contains(request)) {
                problems.add(request + " was told not-run but may have run");
            }
        }
        return problems;
    }
}
