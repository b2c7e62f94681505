package org.wagtaillug.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import org.wagtaillug.daemon.Json;

/**
 * An HTTP response.
 *
 * @param status the HTTP status; 0 if the connection ended without a complete response
 * @param retryAfter the Retry-After header; empty when absent
 * @param text the body
 */
record Answer(int status, String retryAfter, String text) {
    /** No response, or an incomplete one. */
    static final Answer INCOMPLETE = new Answer(0, "", "");

    JsonNode json() {
        return Json.read(text).getOrElse(Json.object());
    }

    boolean served() {
        return status == 200 && resultCode() == 0;
    }

    int resultCode() {
        return json().path("result_code").asInt(-1);
    }

    /** The run state that the answer reports; empty if it reports none. */
    String run() {
        return json().path("run").asText("");
    }

    JsonNode output() {
        return json().path("output");
    }
}
