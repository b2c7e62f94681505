package org.wagtaillug.daemon.routed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.wagtaillug.daemon.translation.UpstreamTranslation;
import org.wagtaillug.serving.SendEnd;
import org.wagtaillug.serving.SendOrder;

/**
 * Reads the answer to one attempt. A stream is passed on event by event; any other answer when it is here whole, so that
 * one that breaks off can still be replaced by another upstream's.
 */
final class UpstreamAnswer {
    /** An answer that is not a stream is kept in memory; no service answers with more. */
    private static final int LONGEST_KEPT = 4 * 1024 * 1024;

    private static final int FIRST_FAILURE = 300;
    private static final int FIRST_SUCCESS = 200;

    private final SendOrder order;
    private final RoutedExchange exchange;
    private final UpstreamTranslation translation;
    private final Runnable began;
    private final Consumer<SendEnd> ended;
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private final EventSplitter events = new EventSplitter();
    private volatile boolean sent;
    private Meaning meaning = Meaning.NOTHING;
    private Optional<String> fault = Optional.empty();

    private enum Meaning {
        NOTHING,
        NOT_RUN,
        FAILURE,
        WHOLE,
        STREAM
    }

    UpstreamAnswer(
            SendOrder order,
            RoutedExchange exchange,
            UpstreamTranslation translation,
            Runnable began,
            Consumer<SendEnd> ended) {
        this.order = order;
        this.exchange = exchange;
        this.translation = translation;
        this.began = began;
        this.ended = ended;
    }

    void onSent() {
        sent = true;
    }

    void onHead(Response response) {
        HttpFields head = response.getHeaders();
        int status = response.getStatus();
        if (translation.notRun(status, head)) {
            meaning = Meaning.NOT_RUN;
            return;
        }
        Optional<String> answered = translation.answeredRequest(head);
        if (answered.isEmpty() || !answered.get().equals(order.request().value())) {
            abort(response, "the answer is to request " + answered.orElse("(not named)"));
            return;
        }
        boolean good = status >= FIRST_SUCCESS && status < FIRST_FAILURE;
        if (!good) {
            meaning = Meaning.FAILURE;
            return;
        }
        if (!translation.authentic(head) || head.contains(HttpHeader.CONTENT_ENCODING)) {
            abort(response, "the answer is not the upstream's own");
            return;
        }
        if (!order.stream()) {
            meaning = Meaning.WHOLE;
            return;
        }
        meaning = Meaning.STREAM;
        exchange.begin(status, head);
        began.run();
    }

    private void abort(Response response, String reason) {
        fault = Optional.of(reason);
        response.abort(new IOException(reason));
    }

    void onContent(Response response, ByteBuffer content) {
        switch (meaning) {
            case STREAM -> {
                byte[] whole = events.take(content);
                if (whole.length > 0) {
                    exchange.write(whole);
                }
            }
            case WHOLE, FAILURE -> {
                byte[] bytes = new byte[content.remaining()];
                content.get(bytes);
                kept.writeBytes(bytes);
                if (kept.size() > LONGEST_KEPT) {
                    abort(response, "the answer is longer than " + LONGEST_KEPT + " bytes");
                }
            }
            case NOT_RUN, NOTHING -> content.position(content.limit());
        }
    }

    void onComplete(Result result) {
        ended.accept(end(result));
    }

    private SendEnd end(Result result) {
        if (meaning == Meaning.NOT_RUN) {
            return new SendEnd.NotRun(result.getResponse().getStatus());
        }
        if (fault.isPresent()) {
            return new SendEnd.Broken(fault.get(), events.lastId());
        }
        if (result.getResponseFailure() != null || result.getResponse().getStatus() == 0) {
            return failed(result.getFailure());
        }
        HttpFields head = result.getResponse().getHeaders();
        int status = result.getResponse().getStatus();
        return switch (meaning) {
            case FAILURE -> {
                exchange.keep(new RoutedExchange.KeptAnswer(status, head, kept.toByteArray()));
                yield new SendEnd.Failed(status);
            }
            case WHOLE -> {
                exchange.pass(new RoutedExchange.KeptAnswer(status, head, kept.toByteArray()));
                yield new SendEnd.Passed();
            }
            case STREAM -> endOfStream();
            case NOT_RUN, NOTHING -> new SendEnd.Broken("no answer", events.lastId());
        };
    }

    private SendEnd endOfStream() {
        if (!events.atBoundary()) {
            return new SendEnd.Broken("the stream ended in the middle of an event", events.lastId());
        }
        exchange.end();
        return new SendEnd.Passed();
    }

    private SendEnd failed(Throwable cause) {
        if (cause instanceof CancellationException) {
            return new SendEnd.GivenUp();
        }
        String reason = FaultText.of(cause);
        return sent ? new SendEnd.Broken(reason, events.lastId()) : new SendEnd.Unsent(reason);
    }
}
