package org.wagtaillug.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.result.Payload;

/** Reads one JSON value that must carry the ids of the attempt that it answers. */
final class ValueReader implements AnswerReader {
    private static final int LONGEST = 4 * 1024 * 1024;

    private final Attempt attempt;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    ValueReader(Attempt attempt) {
        this.attempt = attempt;
    }

    @Override
    public boolean read(ByteBuffer more) {
        byte[] chunk = new byte[more.remaining()];
        more.get(chunk);
        bytes.writeBytes(chunk);
        return bytes.size() <= LONGEST;
    }

    @Override
    public AttemptEnd end() {
        Try<JsonNode> value = Json.read(bytes.toByteArray());
        if (value.isFailure() || !value.get().has("output")) {
            return new AttemptEnd.Failed(true, "the answer is cut or has no output");
        }
        JsonNode answer = value.get();
        boolean own =
                answer.path("request").asText().equals(attempt.id().request().value())
                        && answer.path("attempt").asText().equals(attempt.id().toString());
        if (!own) {
            return new AttemptEnd.Failed(
                    true, "the answer of attempt " + answer.path("attempt").asText());
        }
        return new AttemptEnd.Completed(Payload.wrap(Json.write(answer.get("output"))));
    }
}
