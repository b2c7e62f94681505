package org.wagtaillug.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.result.Payload;

/** Reads one JSON value that must contain the ids of its request and attempt. */
final class ValueReader implements AnswerReader {
    private static final int MAX_BYTES = 4 * 1024 * 1024;

    private final Attempt attempt;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    ValueReader(Attempt attempt) {
        this.attempt = attempt;
    }

    @Override
    public boolean read(ByteBuffer next) {
        byte[] chunk = new byte[next.remaining()];
        next.get(chunk);
        bytes.writeBytes(chunk);
        return bytes.size() <= MAX_BYTES;
    }

    @Override
    public AttemptEnd end() {
        Try<JsonNode> value = Json.read(bytes.toByteArray());
        if (value.isFailure() || !value.get().has("output")) {
            return new AttemptEnd.Failed(true, "the answer is truncated or has no output");
        }
        JsonNode answer = value.get();
        boolean matches =
                answer.path("request").asText().equals(attempt.id().request().value())
                        && answer.path("attempt").asText().equals(attempt.id().toString());
        if (!matches) {
            return new AttemptEnd.Failed(
                    true,
                    "received the answer of attempt " + answer.path("attempt").asText());
        }
        return new AttemptEnd.Completed(Payload.wrap(Json.write(answer.get("output"))));
    }
}
