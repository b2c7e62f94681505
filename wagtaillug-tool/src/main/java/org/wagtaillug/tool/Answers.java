package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;
import org.wagtaillug.tool.AdministrationClient.Exchange;

/** Reads the nodes' refusals. */
final class Answers {
    private Answers() {}

    /**
     * A refusal as docs/API.md gives it.
     *
     * @param status the HTTP status
     * @param code the result code; 0 if the answer names none
     * @param run whether the call took effect; unknown if the answer does not say so
     * @param message the node's words
     * @param retryAfter when it is worth coming back; zero when it is not
     */
    record Refusal(int status, int code, RunState run, String message, Duration retryAfter) {
        boolean crossed() {
            return code == ResultCode.CHANGE_CROSSED.number();
        }

        /** Whether it speaks of the state of this one node, so that another may do what it could not. */
        boolean anotherNodeMayServe() {
            return code == ResultCode.LOG_UNAVAILABLE.number()
                    || code == ResultCode.SHUTTING_DOWN.number()
                    || code == ResultCode.NODE_CUT_OFF.number()
                    || code == ResultCode.NOT_READY.number();
        }

        ToolFailure failure(String node) {
            return new ToolFailure.Refused(node, code, message, retryAfter);
        }
    }

    static Refusal refusal(Exchange.Answered answered) {
        JsonNode body = answered.body();
        String message = body.path("message").asText("status " + answered.status() + " without a message");
        Duration retryAfter = Duration.ofMillis(body.path("retry_after_millis").asLong(0));
        return new Refusal(answered.status(), body.path("result_code").asInt(0), run(body), message, retryAfter);
    }

    private static RunState run(JsonNode body) {
        String text = body.path("run").asText();
        for (RunState state : RunState.values()) {
            if (state.text().equals(text)) {
                return state;
            }
        }
        return RunState.UNKNOWN;
    }
}
