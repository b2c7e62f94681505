package org.wagtaillug.standin.upstream;

import java.util.List;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.http.RequestIds;

/** A completion in progress on an engine. Not thread-safe. */
final class EngineJob extends Job {
    private final Completion.Call call;
    private final TokenSequence tokens;
    private final StringBuilder text = new StringBuilder();
    private int nextToken;
    private long firstTokenAt;
    private boolean opened;

    EngineJob(Exchange exchange, Completion.Call call) {
        super(exchange, new RequestIds(call.request(), call.attempt()));
        this.call = call;
        this.tokens = new TokenSequence(call.prompt(), call.seed(), call.resumeFrom());
        this.nextToken = call.resumeFrom();
    }

    Completion.Call call() {
        return call;
    }

    void firstTokenAt(long millis) {
        firstTokenAt = millis;
    }

    boolean isReady(long now) {
        return firstTokenAt <= now;
    }

    boolean isDone() {
        return nextToken >= call.maxTokens();
    }

    /** Generates one token. */
    void step() {
        String token = tokens.next();
        int offset = nextToken;
        nextToken++;
        if (!call.stream()) {
            text.append(token);
            return;
        }
        event(offset, token, isDone() ? "stop" : null);
    }

    /** Ends the answer after the last token. */
    void end() {
        if (!call.stream()) {
            exchange().answer(200, answer(call.resumeFrom(), text.toString(), "stop"));
            return;
        }
        open();
        exchange().write("data: [DONE]\n\n");
        exchange().end();
    }

    /** Ends the answer after an explicit cancellation. */
    void endCancelled() {
        if (!call.stream()) {
            exchange().answer(200, answer(call.resumeFrom(), text.toString(), "cancelled"));
            return;
        }
        event(nextToken, "", "cancelled");
        exchange().write("data: [DONE]\n\n");
        exchange().end();
    }

    private void event(int offset, String token, String finishReason) {
        open();
        exchange().write("data: " + Json.text(answer(offset, token, finishReason)) + "\n\n");
    }

    private void open() {
        if (opened) {
            return;
        }
        opened = true;
        exchange().openStream("text/event-stream", -1, call.maxTokens() - call.resumeFrom() + 1);
    }

    private Completion.Answer answer(int offset, String token, String finishReason) {
        RequestIds answerIds = exchange().ids(ids());
        return new Completion.Answer(
                answerIds.attempt(), answerIds.request(), offset, List.of(new Completion.Choice(token, finishReason)));
    }
}
