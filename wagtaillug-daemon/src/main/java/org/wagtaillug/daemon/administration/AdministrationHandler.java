package org.wagtaillug.daemon.administration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.URIUtil;
import org.wagtaillug.contract.Body;
import org.wagtaillug.daemon.DecisionLog;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.daemon.body.BodyEnd;
import org.wagtaillug.daemon.body.BodyMemory;
import org.wagtaillug.daemon.body.RequestBody;
import org.wagtaillug.daemon.control.ControlThread;
import org.wagtaillug.daemon.metrics.NodeMetrics;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Event;
import org.wagtaillug.node.Node;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;
import org.wagtaillug.settings.Contracts;
import org.wagtaillug.settings.NodeSettings;

/** The administration API; docs/API.md describes it. */
public final class AdministrationHandler extends Handler.Abstract {
    private static final String CONFIGURATION = "/admin/configuration/";
    private static final String CHANGES = "/admin/changes/";
    private static final String REQUESTS = "/admin/requests/";
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int MAX_CHANGE_ID_LENGTH = 128;
    private static final long MAX_WAIT_MILLIS = 10_000;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long BASE_NEWEST = -1;

    private final ControlThread<Node, Event, Effect> control;
    private final PendingChanges pending;
    private final DecisionLog decisions;
    private final NodeMetrics metrics;
    private final BooleanSupplier ready;
    private final LongSupplier linkBytes;
    private final Access access;
    private final BodyMemory bodyMemory = BodyMemory.ofHeap(Runtime.getRuntime().maxMemory());

    /** Creates the handler of the administration port. */
    public AdministrationHandler(
            ControlThread<Node, Event, Effect> control,
            PendingChanges pending,
            DecisionLog decisions,
            NodeMetrics metrics,
            BooleanSupplier ready,
            LongSupplier linkBytes,
            NodeSettings.Administration settings) {
        this.control = control;
        this.pending = pending;
        this.decisions = decisions;
        this.metrics = metrics;
        this.ready = ready;
        this.linkBytes = linkBytes;
        this.access = new Access(settings.accessTokens());
    }

    private record Exchange(Request request, Response response, Callback callback) {
        private Exchange with(Callback completion) {
            return new Exchange(request, response, completion);
        }

        /** The exchange of a request that is refused without its body. */
        private Exchange discardingBody() {
            return with(RequestBody.discard(request, callback));
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Exchange exchange = new Exchange(request, response, callback);
        String path = Request.getPathInContext(request);
        switch (path) {
            case "/healthz" -> text(exchange, 200, "alive\n");
            case "/readyz" ->
                text(exchange, ready.getAsBoolean() ? 200 : 503, ready.getAsBoolean() ? "ready\n" : "not ready\n");
            case "/metrics" -> metrics(exchange);
            default -> administer(path, exchange);
        }
        return true;
    }

    private void metrics(Exchange exchange) {
        control.query((node, now) -> node.state().through()).whenComplete((through, fault) -> {
            metrics.recordControl(through == null ? 0 : through, control.cpuNanos(), linkBytes.getAsLong());
            text(exchange, 200, metrics.text());
        });
    }

    private void administer(String path, Exchange exchange) {
        Optional<NodeSettings.AccessToken> holder =
                access.holder(exchange.request().getHeaders().get(HttpHeader.AUTHORIZATION));
        if (holder.isEmpty()) {
            refuse(
                    exchange.discardingBody(),
                    ResultCode.FORBIDDEN,
                    "no valid token; expected \"Authorization: Bearer TOKEN\"");
            return;
        }
        String method = exchange.request().getMethod();
        if (HttpMethod.POST.is(method)) {
            post(path, holder.get(), exchange);
            return;
        }
        if (HttpMethod.GET.is(method)) {
            get(path, exchange);
            return;
        }
        refuseUnknown(path, exchange);
    }

    private void get(String path, Exchange exchange) {
        switch (path) {
            case "/admin/configuration" -> answer(exchange, (node, now) -> Views.configuration(node));
            case "/admin/nodes" -> answer(exchange, (node, now) -> Views.nodes(node, ready.getAsBoolean(), now));
            case "/admin/upstreams" -> answer(exchange, Views::upstreams);
            case "/admin/ownership" -> answer(exchange, Views::ownership);
            case "/admin/requests" -> answer(exchange, Views::requests);
            default -> getOne(path, exchange);
        }
    }

    private void getOne(String path, Exchange exchange) {
        if (path.startsWith(CONFIGURATION)) {
            entry(URIUtil.decodePath(path.substring(CONFIGURATION.length())), exchange);
            return;
        }
        if (path.startsWith(REQUESTS)) {
            request(URIUtil.decodePath(path.substring(REQUESTS.length())), exchange);
            return;
        }
        Try<Long> version = Try.of(() -> Long.parseLong(path.substring(CHANGES.length())));
        if (path.startsWith(CHANGES) && version.isSuccess()) {
            answer(exchange, (node, now) -> Views.change(node, ready.getAsBoolean(), version.get(), now));
            return;
        }
        refuseUnknown(path, exchange);
    }

    private void refuseUnknown(String path, Exchange exchange) {
        String method = exchange.request().getMethod();
        String message = method + " \"" + path + "\" is not known; expected one of the calls in docs/API.md";
        refuse(exchange, ResultCode.NOT_FOUND, message);
    }

    private void request(String request, Exchange exchange) {
        List<ObjectNode> about = decisions.about(request);
        if (about.isEmpty()) {
            String message =
                    "request \"" + request + "\" is not known; expected one with recent decisions on this node";
            refuse(exchange, ResultCode.NOT_FOUND, message);
            return;
        }
        write(exchange, 200, Views.decisions(request, about));
    }

    private void entry(String key, Exchange exchange) {
        control.query((node, now) -> node.state().entry(key)).whenComplete((entry, fault) -> {
            if (fault != null) {
                refuse(exchange, ResultCode.INTERNAL, "the node is shutting down");
                return;
            }
            if (entry.isEmpty()) {
                String message = "key \"" + key + "\" was never set; expected one of GET /admin/configuration";
                refuse(exchange, ResultCode.NOT_FOUND, message);
                return;
            }
            write(exchange, 200, Views.entry(entry.get()));
        });
    }

    private void answer(Exchange exchange, BiFunction<Node, Instant, ObjectNode> view) {
        control.query(view).whenComplete((body, fault) -> {
            if (fault != null) {
                refuse(exchange, ResultCode.INTERNAL, String.valueOf(fault.getMessage()));
                return;
            }
            write(exchange, 200, body);
        });
    }

    private void post(String path, NodeSettings.AccessToken holder, Exchange exchange) {
        if (!path.equals("/admin/changes")) {
            refuseUnknown(path, exchange.discardingBody());
            return;
        }
        if (holder.role() != NodeSettings.Role.OPERATOR) {
            refuse(exchange.discardingBody(), ResultCode.FORBIDDEN, "the token's role is reader; expected operator");
            return;
        }
        RequestBody body = new RequestBody(
                exchange.request(),
                exchange.callback(),
                MAX_BODY_BYTES,
                bodyMemory,
                (self, end, completion) -> onBodyEnd(end, holder.operator(), exchange.with(completion)));
        body.receive();
    }

    private void onBodyEnd(BodyEnd end, OperatorId operator, Exchange exchange) {
        switch (end) {
            case BodyEnd.Received body -> change(body.bytes(), operator, exchange);
            case BodyEnd.TooLong ignored -> {
                String message = "the body is too long; expected at most " + MAX_BODY_BYTES + " bytes";
                refuse(exchange, ResultCode.TOO_LARGE, message);
            }
            case BodyEnd.NoMemory ignored -> refuse(exchange, BodyMemory.FULL.code(), BodyMemory.FULL.message());
            case BodyEnd.Incomplete ignored -> refuse(exchange, ResultCode.BODY_CUT, "the body is incomplete");
            case BodyEnd.TimedOut ignored -> refuse(exchange, ResultCode.BODY_CUT, "the body was not complete in time");
            case BodyEnd.ShutDown ignored ->
                refuse(exchange, ResultCode.SHUTTING_DOWN, "the node is shutting down; use another node");
        }
    }

    private void change(byte[] bytes, OperatorId operator, Exchange exchange) {
        Try<JsonNode> body = Json.read(bytes);
        Either<String, Submission> submission =
                body.isFailure() ? Either.left("the body is not JSON") : submission(body.get());
        if (submission.isLeft()) {
            refuse(exchange, ResultCode.MALFORMED, submission.getLeft());
            return;
        }
        submit(submission.get(), operator, exchange);
    }

    private record Submission(String key, long base, Body body, String changeId) {}

    private static Either<String, Submission> submission(JsonNode json) {
        String key = json.path("key").asText("");
        String changeId = json.path("change_id").asText("");
        if (key.isEmpty()
                || changeId.isEmpty()
                || changeId.length() > MAX_CHANGE_ID_LENGTH
                || !json.path("base").isIntegralNumber()) {
            return Either.left(
                    "expected \"key\", \"base\" (a version, or -1), \"change_id\" (1 to 128 characters) and \"body\"");
        }
        return Contracts.fromJson(Json.text(json.path("body")))
                .mapLeft(problems -> problems.get(0).toString())
                .flatMap(body -> checkKey(key, json.path("base").asLong(), body, changeId));
    }

    private static Either<String, Submission> checkKey(String key, long base, Body body, String changeId) {
        if (body instanceof Body.Unknown) {
            // It represents an entry written by a newer node. If it were accepted, it would replace an entry in force
            // by one that no node here can interpret.
            return Either.left("body.kind is \"unknown\"; expected a kind that this node knows, see docs/API.md");
        }
        if (!(body instanceof Body.Removed) && !body.key().equals(key)) {
            return Either.left("key is \"" + key + "\"; expected \"" + body.key() + "\" for this body");
        }
        return Either.right(new Submission(key, base, body, changeId));
    }

    private void submit(Submission submission, OperatorId operator, Exchange exchange) {
        PendingChanges.Registration registration =
                pending.register(submission.changeId(), List.of(submission, operator));
        if (!registration.same()) {
            String message =
                    "change id \"" + submission.changeId() + "\" was used for another change; expected a new one";
            refuse(exchange, ResultCode.MALFORMED, message);
            return;
        }
        if (registration.first()) {
            submitFirst(submission, operator);
        }
        registration.outcome().orTimeout(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS).whenComplete((result, fault) -> {
            if (fault != null) {
                Refusal refusal = Refusal.unknown(
                        ResultCode.LOG_UNAVAILABLE, Duration.ofSeconds(1), "the log has not answered yet");
                refuse(exchange, refusal);
                return;
            }
            result.peek(version -> accepted(exchange, submission.changeId(), version))
                    .peekLeft(refusal -> refuse(exchange, refusal));
        });
    }

    private void submitFirst(Submission submission, OperatorId operator) {
        control.query((node, now) ->
                        submission.base() == BASE_NEWEST ? node.state().versionOf(submission.key()) : submission.base())
                .thenAccept(base -> control.submit(new Event.ChangeSubmitted(new LogRecord.Change(
                        submission.key(), base, submission.body(), operator, submission.changeId()))));
    }

    private static void accepted(Exchange exchange, String changeId, long version) {
        ObjectNode body = Json.object();
        body.put("change_id", changeId);
        body.put("version", version);
        write(exchange, 200, body);
    }

    private static void refuse(Exchange exchange, ResultCode code, String message) {
        refuse(exchange, new Refusal(code, RunState.NOT_RUN, Duration.ZERO, message));
    }

    private static void refuse(Exchange exchange, Refusal refusal) {
        ObjectNode body = Json.object();
        body.put("result_code", refusal.code().number());
        body.put("run", refusal.run().text());
        body.put("message", refusal.message());
        body.put("retry_after_millis", refusal.retryAfter().toMillis());
        if (!refusal.retryAfter().isZero()) {
            long seconds = Math.ceilDiv(refusal.retryAfter().toMillis(), MILLIS_PER_SECOND);
            exchange.response().getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
        }
        write(exchange, refusal.code().status(), body);
    }

    private static void write(Exchange exchange, int status, ObjectNode body) {
        exchange.response().setStatus(status);
        exchange.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        exchange.response().write(true, ByteBuffer.wrap(Json.write(body)), exchange.callback());
    }

    private static void text(Exchange exchange, int status, String text) {
        exchange.response().setStatus(status);
        exchange.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
        Content.Sink.write(exchange.response(), true, text, exchange.callback());
    }
}
