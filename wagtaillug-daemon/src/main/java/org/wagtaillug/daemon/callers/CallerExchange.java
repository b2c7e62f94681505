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
 * One caller's open exchange: what it asked, the tokens that were joined for it, and its one answer.
 *
 * <p>Safe for use by several threads.
 */
public final class CallerExchange {
    private static final int MOST_TOKENS = 4096;
    private static final int DEFAULT_TOKENS = 64;
    private static final long MILLIS_PER_SECOND = 1000;

    private final Request request;
    private final JsonNode body;
    private final Instant arrivedAt;
    private final Response response;
    private final Callback callback;
    private final Map<StageId, JoinedStage> stages = new HashMap<>();
    private CallerStream stream;
    private boolean answered;

    /** Tokens of one generating stage. */
    private static final class JoinedStage {
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

    /** The request as the node knows it. */
    public Request request() {
        return request;
    }

    /** When it arrived. */
    public Instant arrivedAt() {
        return arrivedAt;
    }

    /** The text of the caller's input, for prompts. */
    public String inputText() {
        JsonNode input = body.path("input");
        return input.isTextual() ? input.textValue() : Json.text(input);
    }

    /** The most tokens that the caller wants. */
    public int tokens() {
        return Math.min(MOST_TOKENS, body.path("max_tokens").asInt(DEFAULT_TOKENS));
    }

    private boolean streams() {
        return body.path("stream").asBoolean(false);
    }

    /** The first token of a stage that is still missing: where an attempt begins. */
    public synchronized int nextToken(StageId stage) {
        return stage(stage).joiner.next();
    }

    /**
     * Takes a token of an attempt.
     *
     * @return false if the attempt must be given up
     */
    public synchronized boolean token(AttemptId attempt, int offset, String text) {
        return stage(attempt.stage()).joiner.accept(attempt, offset, text);
    }

    /** Whether a stage's output is whole with so many tokens. */
    public synchronized boolean whole(StageId stage, int tokens) {
        return stage(stage).joiner.isComplete(tokens);
    }

    /** The output of a generating stage. */
    public synchronized Payload output(StageId stage) {
        JoinedStage joined = stage(stage);
        ObjectNode output = Json.object();
        output.put("text", joined.text.toString());
        output.put("tokens", joined.joiner.next());
        return Payload.wrap(Json.write(output));
    }

    private JoinedStage stage(StageId id) {
        JoinedStage known = stages.get(id);
        if (known != null) {
            return known;
        }
        JoinedStage joined = new JoinedStage();
        joined.joiner = new StreamJoiner((offset, text) -> passOn(joined, offset, text));
        stages.put(id, joined);
        return joined;
    }

    private void passOn(JoinedStage joined, int offset, String text) {
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

    /** The answer ends its connection, unless it has begun. */
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

    /** Gives the final answer: served. Only the first final answer counts. */
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
        int tokens = 0;
        for (JoinedStage joined : stages.values()) {
            tokens += joined.joiner.next();
        }
        return tokens;
    }

    /** Gives the final answer: refused. Only the first final answer counts. */
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

    static void retryAfter(Response response, Duration wait) {
        if (wait.isZero()) {
            return;
        }
        long seconds = (wait.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
    }

    private void write(int status, ObjectNode answer) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(Json.write(answer)), callback);
    }

    /** Calls back when the caller closes its connection before the answer is whole. */
    void onGone(Consumer<CallerExchange> listener, org.eclipse.jetty.server.Request jettyRequest) {
        jettyRequest.addFailureListener(cause -> listener.accept(this));
    }
}
