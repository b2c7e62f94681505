package org.wagtaillug.daemon.callers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.dispatch.Request;
import org.wagtaillug.dispatch.StreamJoiner;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.StageId;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;

/**
 * An open exchange with a caller: its request, the joined tokens and its single answer.
 *
 * <p>Thread-safe.
 */
public final class CallerExchange {
    private static final int MAX_TOKENS = 4096;
    private static final int DEFAULT_TOKENS = 64;
    private static final long MILLIS_PER_SECOND = 1000;

    private final Request request;
    private final JsonNode body;
    private final Instant arrivedAt;
    private final Response response;
    private final Callback callback;
    private final Map<StageId, StageOutput> stages = new HashMap<>();
    private CallerStream stream;
    private boolean answered;

    /** The joined output of one generating stage. */
    private static final class StageOutput {
        private final StringBuilder text = new StringBuilder();
        private StreamJoiner joiner;
    }

    CallerExchange(Request request, JsonNode body, Instant arrivedAt, Response response, Callback callback) {
        this.request = request;
        this.body = body;
        this.arrivedAt = arrivedAt;
        this.response = response;
        this.callback = callback;
    }

    /** The parsed request. */
    public Request request() {
        return request;
    }

    /** When the request arrived. */
    public Instant arrivedAt() {
        return arrivedAt;
    }

    /** The caller's input as text, for prompts. */
    public String inputText() {
        JsonNode input = body.path("input");
        return input.isTextual() ? input.textValue() : Json.text(input);
    }

    /** The maximum number of tokens to generate. */
    public int maxTokens() {
        return Math.min(MAX_TOKENS, body.path("max_tokens").asInt(DEFAULT_TOKENS));
    }

    private boolean streams() {
        return body.path("stream").asBoolean(false);
    }

    /** Offset of the first missing token of a stage, at which an attempt resumes. */
    public synchronized int nextToken(StageId stage) {
        return stage(stage).joiner.next();
    }

    /**
     * Accepts a token of an attempt.
     *
     * @return false if the attempt must be cancelled
     */
    public synchronized boolean acceptToken(AttemptId attempt, int offset, String text) {
        return stage(attempt.stage()).joiner.accept(attempt, offset, text);
    }

    /** Whether a stage's output is complete with the given number of tokens. */
    public synchronized boolean complete(StageId stage, int tokens) {
        return stage(stage).joiner.isComplete(tokens);
    }

    /** The output of a generating stage. */
    public synchronized Payload output(StageId stage) {
        StageOutput joined = stage(stage);
        ObjectNode output = Json.object();
        output.put("text", joined.text.toString());
        output.put("tokens", joined.joiner.next());
        return Payload.wrap(Json.write(output));
    }

    private StageOutput stage(StageId id) {
        StageOutput known = stages.get(id);
        if (known != null) {
            return known;
        }
        StageOutput joined = new StageOutput();
        joined.joiner = new StreamJoiner((offset, text) -> forward(joined, offset, text));
        stages.put(id, joined);
        return joined;
    }

    private void forward(StageOutput joined, int offset, String text) {
        joined.text.append(text);
        if (!streams() || answered) {
            return;
        }
        ObjectNode event = Json.object();
        event.put("request", request.id().value());
        event.put("token_offset", offset);
        event.put("text", text);
        open().event("", Json.text(event));
    }

    /** Closes the connection after the answer, unless the answer has started. */
    synchronized void closeAfterAnswer() {
        if (!answered && stream == null) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }

    private CallerStream open() {
        if (stream == null) {
            response.setStatus(ResultCode.SERVED.status());
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
            stream = new CallerStream(response, callback);
        }
        return stream;
    }

    /** Sends the final answer with the output. Only the first final answer takes effect. */
    public synchronized void served(long templateVersion, Payload output) {
        if (answered) {
            return;
        }
        answered = true;
        ObjectNode answer = head(templateVersion, ResultCode.SERVED);
        if (streams() && stream != null) {
            answer.put("tokens", totalTokens());
            stream.end("end", Json.text(answer));
            return;
        }
        answer.set("output", Json.read(output.bytes()).getOrElse(Json.object()));
        write(ResultCode.SERVED.status(), answer);
    }

    private int totalTokens() {
        int total = 0;
        for (StageOutput joined : stages.values()) {
            total += joined.joiner.next();
        }
        return total;
    }

    /** Sends the final answer with a refusal. Only the first final answer takes effect. */
    public synchronized void refused(long templateVersion, Refusal refusal) {
        if (answered) {
            return;
        }
        answered = true;
        ObjectNode answer = head(templateVersion, refusal.code());
        describe(answer, refusal);
        if (stream != null) {
            stream.end("end", Json.text(answer));
            return;
        }
        retryAfter(response, refusal.retryAfter());
        write(refusal.code().status(), answer);
    }

    private ObjectNode head(long templateVersion, ResultCode code) {
        ObjectNode answer = Json.object();
        answer.put("request", request.id().value());
        answer.put("template", request.template().value());
        answer.put("template_version", templateVersion);
        answer.put("result_code", code.number());
        return answer;
    }

    static void describe(ObjectNode answer, Refusal refusal) {
        answer.put("run", refusal.run().text());
        answer.put("retry_after_millis", refusal.retryAfter().toMillis());
        answer.put("message", refusal.message());
    }

    static void retryAfter(Response response, Duration delay) {
        if (delay.isZero()) {
            return;
        }
        long seconds = (delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
    }

    private void write(int status, ObjectNode answer) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(Json.write(answer)), callback);
    }

    /** Registers a listener for a caller that closes its connection before the answer is complete. */
    void onDisconnect(Consumer<CallerExchange> listener, org.eclipse.jetty.server.Request jettyRequest) {
        jettyRequest.addFailureListener(cause -> listener.accept(this));
    }
}
