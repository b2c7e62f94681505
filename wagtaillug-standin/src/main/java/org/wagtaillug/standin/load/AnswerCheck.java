package org.wagtaillug.standin.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.wagtaillug.standin.http.Json;

/**
 * Checks one answer, streamed or not: it must carry the ids of the request, token offsets must increase by 1 from 0 without
 * duplicates, and their number must match the end event. Not thread-safe.
 */
final class AnswerCheck {
    private static final int SERVED = 0;

    private final String request;
    private int nextToken;
    private boolean wrongRequest;
    private boolean incomplete;
    private boolean doubled;
    private JsonNode end;

    AnswerCheck(String request) {
        this.request = request;
    }

    /** Processes one event of a stream; returns whether it was a token. */
    boolean onEvent(String name, String data) {
        JsonNode node = parse(data);
        if (name.equals("end")) {
            end = node;
            return false;
        }
        if (!node.has("token_offset")) {
            return false;
        }
        checkRequest(node);
        int offset = node.path("token_offset").asInt(-1);
        if (offset < nextToken) {
            doubled = true;
            return true;
        }
        incomplete |= offset > nextToken;
        nextToken = offset + 1;
        return true;
    }

    /** Returns the outcome of a streamed answer whose connection ended normally. */
    Outcome streamOutcome(boolean inTime) {
        if (end == null) {
            return lost("stream without end");
        }
        if (end.path("result_code").asInt(SERVED) != SERVED) {
            return refused(end, "");
        }
        if (end.has("request")) {
            checkRequest(end);
        }
        incomplete |= end.path("tokens").asInt(-1) != nextToken;
        return completeOutcome(inTime);
    }

    /** Returns the outcome of an answer that was not streamed. */
    Outcome responseOutcome(int status, byte[] body, boolean inTime) {
        JsonNode node = parse(new String(body, StandardCharsets.UTF_8));
        boolean served = status == 200 && node.path("result_code").asInt(-1) == SERVED;
        if (!served) {
            return refused(node, "http-" + status);
        }
        checkRequest(node);
        incomplete |= !node.hasNonNull("output");
        return completeOutcome(inTime);
    }

    boolean wrongRequest() {
        return wrongRequest;
    }

    /** Returns whether tokens were skipped, or an answer reported as complete is not. */
    boolean tooShort() {
        return incomplete;
    }

    boolean doubled() {
        return doubled;
    }

    private Outcome completeOutcome(boolean inTime) {
        if (wrongRequest) {
            return lost("another request's answer");
        }
        if (incomplete || doubled) {
            return lost("not whole");
        }
        return new Outcome.Served(inTime);
    }

    private static Outcome refused(JsonNode node, String withoutCode) {
        String code = node.has("result_code") ? node.path("result_code").asText() : withoutCode;
        return new Outcome.Refused(
                code, node.path("run").asText(), node.path("retry_after_millis").asLong());
    }

    private static Outcome lost(String reason) {
        return new Outcome.Lost(reason);
    }

    private void checkRequest(JsonNode node) {
        wrongRequest |= !node.path("request").asText("").equals(request);
    }

    private static JsonNode parse(String text) {
        try {
            return Json.mapper().readTree(text);
        } catch (JsonProcessingException malformed) {
            return Json.mapper().createObjectNode();
        }
    }
}
