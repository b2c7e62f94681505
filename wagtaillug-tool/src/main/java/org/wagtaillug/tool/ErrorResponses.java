package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;
import org.wagtaillug.tool.AdministrationClient.CallResult;

/** Parses the error responses of nodes. */
final class ErrorResponses {
    private ErrorResponses() {}

    /**
     * An error response as specified in docs/API.md.
     *
     * @param status the HTTP status
     * @param code the result code; 0 if the response has none
     * @param run whether the call took effect; unknown if the response does not say
     * @param message the node's error message
     * @param retryAfter the delay after which to retry; zero if a retry is not recommended
     */
    record Refusal(int status, int code, RunState run, String message, Duration retryAfter) {
        boolean isConflict() {
            return code == ResultCode.CHANGE_CROSSED.number();
        }

        /** Whether the error is caused by the state of this one node, so that another node may serve the call. */
        boolean retryableOnOtherNode() {
            return code == ResultCode.LOG_UNAVAILABLE.number()
                    || code == ResultCode.SHUTTING_DOWN.number()
                    || code == ResultCode.NODE_CUT_OFF.number()
                    || code == ResultCode.NOT_READY.number();
        }

        ToolFailure failure(String node) {
            return new ToolFailure.Refused(node, code, message, retryAfter);
        }
    }

    static Refusal parse(CallResult.Response response) {
        JsonNode body = response.body();
        String message = body.path("message").asText("status " + response.status() + " without a message");
        Duration retryAfter = Duration.ofMillis(body.path("retry_after_millis").asLong(0));
        return new Refusal(response.status(), body.path("result_code").asInt(0), run(body), message, retryAfter);
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
