package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.load.LoadEstimate;
import org.wagtaillug.node.Decision;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.retry.RetryBudget;
import org.wagtaillug.routing.PrefixSegment;
import org.wagtaillug.serving.ServingEffect.Outcome;
import org.wagtaillug.stream.StreamOrigin;

/** Writes the log lines of a request, from its arrival to its end. docs/OPERATIONS.md describes them. */
final class FlowLog {
    /** Callers choose the number and the length of their segments, so a line holds only the first of them. */
    private static final int MAX_SEGMENTS = 12;

    private static final int MAX_SEGMENT_LENGTH = 40;

    private final Consumer<ServingEffect> effects;

    FlowLog(Consumer<ServingEffect> effects) {
        this.effects = effects;
    }

    /** Logs a request that the configuration does not allow. */
    void denied(RoutedRequest request, ResultCode code, long configuration) {
        write(line("refuse", request.id())
                .field("code", code)
                .field("configuration", configuration)
                .field("host", request.host()));
    }

    /** Logs a request that cannot be answered in the time left until shutdown. */
    void refusedAtShutdown(Flow flow, Duration needed, Duration sinceSignal) {
        write(line("refuse", flow)
                .field("code", ResultCode.SHUTTING_DOWN)
                .field("needed_ms", needed.toMillis())
                .field("since_signal_ms", sinceSignal.toMillis()));
    }

    void accept(Flow flow, long configuration, Shutdown shutdown, Instant now) {
        Decision.Builder line = line("accept", flow)
                .field("customer", flow.customer().map(Object::toString).orElse("-"))
                .field("configuration", configuration)
                .field("patience_ms", millis(now, flow.deadline()))
                .field("pieces", flow.request().items())
                .field("content", flow.request().contentId());
        flow.request().resumption().ifPresent(resumption -> line.field("resumes_after", resumption.lastEvent())
                .field("resumes", resumption.stream().map(Object::toString).orElse("-")));
        if (!flow.request().sharedSegments().isEmpty()) {
            line.field("segments", segments(flow.request().sharedSegments()));
        }
        if (shutdown.started()) {
            line.field("since_signal_ms", shutdown.since(now).toMillis());
        }
        write(line);
    }

    private static List<String> segments(List<PrefixSegment> segments) {
        return segments.stream()
                .limit(MAX_SEGMENTS)
                .map(PrefixSegment::id)
                .map(id -> id.substring(0, Math.min(id.length(), MAX_SEGMENT_LENGTH)))
                .toList();
    }

    void step(Flow flow, StepOrders.Answer answer) {
        String outcome =
                switch (answer.outcome()) {
                    case BatchOutcome.Made made -> "made " + made.results().size();
                    case BatchOutcome.NotMade notMade -> notMade.reason().name();
                };
        write(line("step", flow)
                .field("step", answer.order().step())
                .field("pool", answer.order().pool())
                .field("filler", answer.scheduler())
                .field("outcome", outcome)
                .field("took_ms", answer.took().toMillis()));
    }

    /** Logs a restart of all steps after a result was lost. */
    void restartSteps(Flow flow) {
        write(line("rebuild", flow));
    }

    /**
     * Logs whether a request may be sent to an upstream once more, with the state of its budget.
     *
     * @param crashes how many upstreams have crashed under the request, in this and in earlier tries
     */
    void retry(Flow flow, RetryDecisions.Cause cause, int crashes, boolean allowed, RetryBudget.Usage budget) {
        List<String> crashed = flow.crashedRuns().stream()
                .map(run -> run.upstream() + "/" + run.incarnation())
                .toList();
        write(line("retry", flow)
                .field("pool", flow.pool())
                .field("cause", cause)
                .field("allowed", allowed)
                .field("attempt", flow.attempts())
                .field("executions", flow.executions())
                .field("crashes", crashes)
                .field("crashed_upstreams", crashed)
                .field("window_requests", budget.requests())
                .field("window_retries", budget.retries())
                .field("limit", budget.limit())
                .field("open", budget.open()));
    }

    void send(
            Flow flow,
            Upstream upstream,
            int inFlight,
            long keptTokens,
            Optional<LoadEstimate.Observation> load,
            Optional<AssignmentExchange.Source> source,
            Instant now) {
        Decision.Builder line = line("send", flow)
                .field("attempt", flow.attempts())
                .field("upstream", upstream.id())
                .field("incarnation", upstream.listing().incarnation())
                .field("version", upstream.listing().version())
                .field("domain", upstream.domain())
                .field("path", text(flow.path()))
                .field("in_flight", inFlight)
                .field("prompt_tokens", flow.request().promptTokens())
                .field("kept_tokens", keptTokens)
                .field("inputs", flow.inputHandles().size())
                .field("since_arrival_ms", millis(flow.arrivedAt(), now));
        flow.lastEvent().ifPresent(event -> line.field("resumes_after", event));
        load.ifPresent(observed -> line.field("slowdown", String.format(Locale.ROOT, "%.2f", observed.slowdown()))
                .field("load_age_ms", observed.age().toMillis()));
        source.ifPresent(by -> line.field("chosen_by", by.chosenBy())
                .field("assignment", by.reason())
                .field("assignment_ms", by.waited().toMillis()));
        write(line);
    }

    private static String text(UpstreamPath path) {
        return switch (path) {
            case UpstreamPath.Direct ignored -> "direct";
            case UpstreamPath.ThroughPeer through -> "through " + through.peer();
        };
    }

    void answerStarted(Flow flow, Upstream upstream, UpstreamNotice notice, Instant now) {
        Decision.Builder line = line("answer_began", flow)
                .field("attempt", flow.attempts())
                .field("upstream", upstream.id())
                .field("since_arrival_ms", millis(flow.arrivedAt(), now))
                .field("since_sent_ms", millis(flow.sentAt(), now));
        write(withNotice(line, notice));
    }

    /** Logs that the first event of a stream was passed to the caller. */
    void streamBegan(Flow flow, Upstream upstream) {
        write(line("stream_began", flow)
                .field("attempt", flow.attempts())
                .field("upstream", upstream.id())
                .field("incarnation", upstream.listing().incarnation())
                .field("version", upstream.listing().version()));
    }

    /** Logs that a caller's stream goes on where it began. */
    void streamContinues(Flow flow, StreamOrigin origin, Instant now) {
        write(line("stream_continues", flow)
                .field("stream", origin.stream())
                .field("pool", origin.pool())
                .field("version", origin.version())
                .field("since_arrival_ms", millis(flow.arrivedAt(), now)));
    }

    private static Decision.Builder withNotice(Decision.Builder line, UpstreamNotice notice) {
        notice.rateLimit().ifPresent(limit -> line.field("rate_limit", limit));
        if (notice.leaving()) {
            line.field("leaving", true);
        }
        if (!notice.pause().isZero()) {
            line.field("pause_ms", notice.pause().toMillis());
        }
        return line;
    }

    /** Logs the release of inputs while their request is in progress. */
    void release(Flow flow, String reason, int results, Instant now) {
        write(line("release", flow)
                .field("reason", reason)
                .field("results", results)
                .field("since_sent_ms", millis(flow.sentAt(), now)));
    }

    /**
     * Logs the end of an attempt.
     *
     * @param inFlight the attempts of this node that are still at the upstream
     */
    void end(Flow flow, Upstream upstream, ServingEvent.SendEnded ended, int inFlight, Duration took) {
        Decision.Builder line = line("end", flow)
                .field("attempt", flow.attempts())
                .field("upstream", upstream.id())
                .field("incarnation", upstream.listing().incarnation())
                .field("end", ended.end())
                .field("in_flight", inFlight)
                .field("took_ms", took.toMillis());
        write(withNotice(line, ended.notice().orElse(UpstreamNotice.NONE)));
    }

    void finish(Flow flow, Outcome outcome, String how, Instant now) {
        Decision.Builder line = line("finish", flow)
                .field("outcome", outcome)
                .field("how", how)
                .field("content", flow.request().contentId())
                .field("aim_ms", flow.route().latencyTarget().toMillis())
                .field("total_ms", millis(flow.arrivedAt(), now));
        if (flow.attempts() > 0) {
            line.field("send_ms", millis(flow.arrivedAt(), flow.sentAt()));
        }
        flow.firstEventAt().ifPresent(at -> line.field("first_event_ms", millis(flow.arrivedAt(), at)));
        flow.slowestStep().ifPresent(slowest -> line.field("slowest_step", slowest.step())
                .field("slowest_pool", slowest.pool())
                .field("slowest_ms", slowest.took().toMillis()));
        write(line);
    }

    private static long millis(Instant from, Instant to) {
        return Duration.between(from, to).toMillis();
    }

    private static Decision.Builder line(String event, RequestId request) {
        return Decision.builder(event).field("request", request);
    }

    private static Decision.Builder line(String event, Flow flow) {
        return line(event, flow.request().id()).field("route", flow.route().id());
    }

    private void write(Decision.Builder line) {
        effects.accept(new ServingEffect.LogDecision(line.build()));
    }
}
