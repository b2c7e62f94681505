package org.wagtaillug.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.daemon.callers.CallerExchange;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;

/** Reads the event stream of an engine and passes each token of this attempt to the caller's joiner. */
final class TokenReader implements AnswerReader {
    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final Attempt attempt;
    private final CallerExchange caller;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private String fault = "";
    private int tokens = -1;

    TokenReader(Attempt attempt, CallerExchange caller) {
        this.attempt = attempt;
        this.caller = caller;
    }

    @Override
    public boolean read(ByteBuffer bytes) {
        while (bytes.hasRemaining() && fault.isEmpty()) {
            byte next = bytes.get();
            if (next != '\n') {
                line.write(next);
                continue;
            }
            line(line.toString(StandardCharsets.UTF_8).strip());
            line.reset();
        }
        if (line.size() > MAX_LINE_BYTES) {
            fault = "a line of the stream exceeds " + MAX_LINE_BYTES + " bytes";
        }
        return fault.isEmpty();
    }

    private void line(String text) {
        if (!text.startsWith(DATA)) {
            return;
        }
        String data = text.substring(DATA.length()).strip();
        if (data.equals(DONE)) {
            return;
        }
        Try<JsonNode> event = Json.read(data);
        if (event.isFailure()) {
            fault = "an event of the stream is not JSON";
            return;
        }
        event(event.get());
    }

    private void event(JsonNode event) {
        boolean matches =
                event.path("request").asText().equals(attempt.id().request().value())
                        && event.path("id").asText().equals(attempt.id().toString());
        if (!matches) {
            fault = "received a token of attempt " + event.path("id").asText();
            return;
        }
        int offset = event.path("token_offset").asInt(-1);
        JsonNode choice = event.path("choices").path(0);
        if (offset < 0
                || !caller.acceptToken(attempt.id(), offset, choice.path("text").asText(""))) {
            fault = "a token at offset " + offset + " cannot be joined";
            return;
        }
        if (choice.path("finish_reason").isTextual()) {
            tokens = offset + 1;
        }
    }

    @Override
    public AttemptEnd end() {
        if (!fault.isEmpty()) {
            return new AttemptEnd.Failed(true, fault);
        }
        if (tokens < 0 || !caller.complete(attempt.stage().id(), tokens)) {
            return new AttemptEnd.Failed(
                    true,
                    "the stream ended early at token "
                            + caller.nextToken(attempt.stage().id()));
        }
        return new AttemptEnd.Completed(caller.output(attempt.stage().id()));
    }
}
