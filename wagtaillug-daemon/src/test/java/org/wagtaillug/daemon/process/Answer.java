package org.wagtaillug.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import org.wagtaillug.daemon.Json;

/**
 * What came back over HTTP.
 *
 * @param status the HTTP status; 0 when the connection ended without a whole answer
 * @param retryAfter the header of that name; empty when absent
 * @param text the body
 */
record Answer(int status, String retryAfter, String text) {
    /** No answer, or a part of one. */
    static final Answer CUT = new Answer(0, "", "");

    JsonNode json() {
        return Json.read(text).getOrElse(Json.object());
    }

    boolean served() {
        return status == 200 && resultCode() == 0;
    }

    int resultCode() {
        return json().path("result_code").asInt(-1);
    }

    /** What the answer says of whether the request ran; empty when it says nothing. */
    String run() {
        return json().path("run").asText("");
    }

    JsonNode output() {
        return json().path("output");
    }
}
