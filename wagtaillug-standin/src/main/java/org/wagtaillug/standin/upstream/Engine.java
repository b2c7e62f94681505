package org.wagtaillug.standin.upstream;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.Hashing;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.EngineOptions;
import org.wagtaillug.standin.options.NearestName;

/**
 * A model engine with continuous batching: each running completion generates one token every {@code token-millis}. If the
 * prompt's prefix is cached, the time to the first token is a quarter of the usual time.
 */
public final class Engine extends Upstream<EngineJob> {
    private static final List<String> ORDERS = List.of("load", "unload", "role");
    private static final int CACHED_SPEEDUP = 4;
    private static final int MAX_STEPS_BEHIND = 20;

    private final EngineOptions options;
    private final PrefixCache cache;
    private Optional<String> model;
    private int version;
    private String role = "generate";
    private long fencingNumber;
    private boolean stepping;
    private long nextStepAt;

    /** Creates a cold engine with its initial model loaded. */
    public Engine(String name, EngineOptions options, Timers timers) {
        super(name, options, timers);
        this.options = options;
        this.cache = new PrefixCache(options.prefixCache(), options.loadLagMillis(), options.seed());
        this.model = Optional.of(options.model());
        this.version = options.versionNumber();
    }

    @Override
    public String kind() {
        return "engine";
    }

    @Override
    void handleWork(Exchange exchange) {
        List<String> path = exchange.segments();
        String call = exchange.method() + " " + (path.isEmpty() ? "" : path.get(0));
        switch (call) {
            case "POST v1" -> complete(exchange);
            case "DELETE v1" -> cancelAttempt(exchange, path);
            case "POST orders" -> order(exchange);
            case "GET cache" -> cacheEvents(exchange);
            case "GET kv" -> exportCache(exchange, path);
            case "PUT kv" -> importCache(exchange, path);
            default ->
                exchange.refuse(
                        404, exchange.method() + " " + exchange.path() + " is not known here; see /v1/completions");
        }
    }

    @Override
    void start(EngineJob job) {
        long now = timers().now();
        String prefix = prefix(job.call().prompt());
        long firstToken = options.firstTokenMillis();
        boolean cached = cache.get(prefix).isPresent();
        recordPrefixLookup(cached);
        if (cached) {
            firstToken = firstToken / CACHED_SPEEDUP;
        } else {
            cache.put(prefix, ("cache of " + prefix).getBytes(StandardCharsets.UTF_8), now);
        }
        job.firstTokenAt(now + faults().scaled(firstToken));
        if (!stepping) {
            stepping = true;
            nextStepAt = now;
            scheduleStep(now);
        }
    }

    @Override
    void clearState() {
        cache.clear();
    }

    @Override
    LoadReport withDetails(LoadReport common) {
        return new LoadReport(
                common.startedAt(),
                common.reportedAt(),
                common.running(),
                common.waiting(),
                common.slots(),
                model.orElse(null),
                model.isPresent() ? version : null,
                fencingNumber,
                role);
    }

    private void complete(Exchange exchange) {
        Either<String, Completion.Call> read = Json.read(exchange.body(), Completion.Call.class);
        if (read.isLeft()) {
            exchange.refuse(400, read.getLeft());
            return;
        }
        Completion.Call call = read.get()
                .withDefaults(
                        exchange.header("Wagtaillug-Request").orElse(null),
                        exchange.header("Wagtaillug-Attempt").orElse(null));
        Optional<String> problem = problem(call);
        if (problem.isPresent()) {
            exchange.refuse(400, problem.get());
            return;
        }
        if (call.model() != null && !Optional.of(call.model()).equals(model)) {
            exchange.refuse(404, "model: found '" + call.model() + "', loaded is " + model.orElse("none"));
            return;
        }
        if (find(call.attempt()).isPresent()) {
            exchange.refuse(409, "attempt: '" + call.attempt() + "' is being worked on");
            return;
        }
        EngineJob job = new EngineJob(exchange, call);
        if (offer(job)) {
            exchange.onClosed(() -> cancel(job));
        }
    }

    private static Optional<String> problem(Completion.Call call) {
        if (call.prompt() == null) {
            return Optional.of("prompt: missing, expected a text");
        }
        if (call.request() == null) {
            return Optional.of("request: missing, expected the request's id");
        }
        if (call.attempt() == null) {
            return Optional.of("attempt: missing, expected the attempt's id");
        }
        if (call.maxTokens() < 1) {
            return Optional.of("max_tokens: found " + call.maxTokens() + ", expected at least 1");
        }
        if (call.resumeFrom() < 0 || call.resumeFrom() > call.maxTokens()) {
            return Optional.of("resume_from: found " + call.resumeFrom() + ", expected 0 to max_tokens");
        }
        return Optional.empty();
    }

    private void scheduleStep(long now) {
        nextStepAt += Math.max(1, faults().scaled(options.tokenMillis()));
        if (now - nextStepAt > MAX_STEPS_BEHIND * options.tokenMillis()) {
            nextStepAt = now;
        }
        timers().after(Math.max(0, nextStepAt - now), this::step);
    }

    private synchronized void step() {
        long now = timers().now();
        for (EngineJob job : slots().running()) {
            if (!job.isReady(now)) {
                continue;
            }
            if (!job.isDone()) {
                job.step();
            }
            if (job.isDone()) {
                finish(job);
                job.end();
            }
        }
        if (slots().runningCount() == 0) {
            stepping = false;
            return;
        }
        scheduleStep(now);
    }

    private void cancelAttempt(Exchange exchange, List<String> path) {
        if (path.size() != 3) {
            exchange.refuse(404, "expected DELETE /v1/completions/{attempt}");
            return;
        }
        Optional<EngineJob> job = find(path.get(2));
        if (job.isEmpty()) {
            exchange.refuse(404, "attempt '" + path.get(2) + "' is not being worked on");
            return;
        }
        cancel(job.get());
        job.get().endCancelled();
        exchange.answer(200, job.get().ids());
    }

    private Optional<EngineJob> find(String attempt) {
        for (EngineJob job : slots().all()) {
            if (job.ids().attempt().equals(attempt)) {
                return Optional.of(job);
            }
        }
        return Optional.empty();
    }

    private void order(Exchange exchange) {
        Either<String, Order> read = Json.read(exchange.body(), Order.class);
        if (read.isLeft()) {
            exchange.refuse(400, read.getLeft());
            return;
        }
        Order order = read.get();
        if (order.fencingNumber() == null) {
            exchange.refuse(400, "fencing_number: missing, expected a number");
            return;
        }
        if (options.checksFencing() && order.fencingNumber() < fencingNumber) {
            String error = "fencing_number: found " + order.fencingNumber() + ", expected at least " + fencingNumber;
            exchange.answer(409, new Order.Rejected(error, fencingNumber));
            return;
        }
        Optional<String> problem = apply(order);
        if (problem.isPresent()) {
            exchange.refuse(400, problem.get());
            return;
        }
        fencingNumber = order.fencingNumber();
        exchange.answer(200, new Order.Accepted(model.orElse(null), version, role, fencingNumber));
    }

    private Optional<String> apply(Order order) {
        switch (order.order() == null ? "" : order.order()) {
            case "load" -> {
                if (order.model() == null || order.version() == null) {
                    return Optional.of("model, version: expected both in an order to load");
                }
                model = Optional.of(order.model());
                version = order.version();
                cache.clear();
            }
            case "unload" -> {
                model = Optional.empty();
                cache.clear();
            }
            case "role" -> {
                if (order.role() == null) {
                    return Optional.of("role: missing, expected a text");
                }
                role = order.role();
            }
            default -> {
                return Optional.of(
                        "order: found '" + order.order() + "', " + NearestName.expected("" + order.order(), ORDERS));
            }
        }
        return Optional.empty();
    }

    private void cacheEvents(Exchange exchange) {
        try {
            long from = Long.parseLong(exchange.query("from").orElse("0"));
            exchange.answer(200, cache.events(from, timers().now()));
        } catch (NumberFormatException malformed) {
            exchange.refuse(400, "from: expected a sequence number");
        }
    }

    private void exportCache(Exchange exchange, List<String> path) {
        Optional<byte[]> bytes = path.size() == 2 ? cache.get(path.get(1)) : Optional.empty();
        if (bytes.isEmpty()) {
            exchange.refuse(404, exchange.path() + ": this prefix is not cached");
            return;
        }
        exchange.answer(200, "application/octet-stream", bytes.get());
    }

    private void importCache(Exchange exchange, List<String> path) {
        if (path.size() != 2) {
            exchange.refuse(404, "expected PUT /kv/{prefix}");
            return;
        }
        cache.put(path.get(1), exchange.body(), timers().now());
        exchange.answer(200, "application/json", "{}".getBytes(StandardCharsets.UTF_8));
    }

    private String prefix(String prompt) {
        return Hashing.hexadecimal(prompt.substring(0, Math.min(prompt.length(), options.prefixCharacters())));
    }
}
