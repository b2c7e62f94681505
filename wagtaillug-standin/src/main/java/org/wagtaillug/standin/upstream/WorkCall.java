package org.wagtaillug.standin.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.http.RequestIds;

/**
 * A call to a stage server or a plain service.
 *
 * @param request the request's id
 * @param attempt the attempt's id
 * @param idempotencyKey the idempotency key, or null if absent
 * @param input the input, any JSON value
 */
record WorkCall(String request, String attempt, String idempotencyKey, JsonNode input) {
    /** The answer to a call. */
    record Answer(String request, String attempt, Object output) {
        Answer(RequestIds ids, Object output) {
            this(ids.request(), ids.attempt(), output);
        }
    }

    /** Reads a call; returns an error message if it is invalid. */
    static Either<String, WorkCall> read(Exchange exchange) {
        return Json.read(exchange.body(), WorkCall.class).flatMap(WorkCall::checked);
    }

    RequestIds ids() {
        return new RequestIds(request, attempt);
    }

    private Either<String, WorkCall> checked() {
        if (request == null || request.isEmpty()) {
            return Either.left("request: missing, expected the request's id");
        }
        if (attempt == null || attempt.isEmpty()) {
            return Either.left("attempt: missing, expected the attempt's id");
        }
        return Either.right(this);
    }
}
