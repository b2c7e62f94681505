package org.wagtaillug.standin.upstream;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.ServiceOptions;

/**
 * A plain service that keeps a ledger: each execution counts under its idempotency key, so that a double run shows. The
 * ledger outlives a restart, as a real one would. Work that has begun is done even if the caller goes away.
 */
public final class PlainService extends Upstream<PlainService.ServiceJob> {
    /** One call that a service executes. */
    static final class ServiceJob extends Job {
        private final String operation;
        private final WorkCall call;

        ServiceJob(Exchange exchange, String operation, WorkCall call) {
            super(exchange, call.ids());
            this.operation = operation;
            this.call = call;
        }
    }

    /**
     * What a service gives back.
     *
     * @param confirmation differs for every execution
     */
    record Output(String confirmation) {}

    /**
     * The answer to {@code GET /executions}.
     *
     * @param executions how often each key was executed
     */
    record Executions(Map<String, Integer> executions) {}

    private final ServiceOptions options;
    private final WorkTime workTime;
    private final Map<String, Integer> executions = new TreeMap<>();
    private final Map<String, Output> outputs = new HashMap<>();
    private final Map<String, List<ServiceJob>> repeats = new HashMap<>();
    private long executionNumber;

    /** Creates a service that has just started with an empty ledger. */
    public PlainService(String name, ServiceOptions options, Timers timers) {
        super(name, options, timers);
        this.options = options;
        this.workTime = new WorkTime(options.workMillis(), options.seed());
    }

    @Override
    public String kind() {
        return "service";
    }

    @Override
    void work(Exchange exchange) {
        if (exchange.method().equals("GET") && exchange.path().equals("/executions")) {
            exchange.answer(200, new Executions(new TreeMap<>(executions)));
            return;
        }
        if (!exchange.method().equals("POST") || exchange.segments().isEmpty()) {
            exchange.refuse(404, exchange.method() + " " + exchange.path() + ": expected POST /{operation}");
            return;
        }
        Either<String, WorkCall> read = WorkCall.read(exchange);
        if (read.isLeft()) {
            exchange.refuse(400, read.getLeft());
            return;
        }
        ServiceJob job = new ServiceJob(exchange, String.join("/", exchange.segments()), read.get());
        if (isRepeat(job)) {
            return;
        }
        if (offer(job) && checksKeyOf(job)) {
            repeats.put(job.call.idempotencyKey(), new ArrayList<>());
        }
    }

    @Override
    void start(ServiceJob job) {
        timers().after(faults().scaled(workTime.next()), () -> execute(job));
    }

    @Override
    void reset() {
        for (List<ServiceJob> waiting : repeats.values()) {
            for (ServiceJob job : waiting) {
                job.exchange().fail(name() + " has restarted");
            }
        }
        repeats.clear();
    }

    /** Answers a key that was executed from the ledger, and lets one that is being executed wait for that answer. */
    private boolean isRepeat(ServiceJob job) {
        if (!checksKeyOf(job)) {
            return false;
        }
        Output first = outputs.get(job.call.idempotencyKey());
        if (first != null) {
            answer(job, first);
            return true;
        }
        List<ServiceJob> waiting = repeats.get(job.call.idempotencyKey());
        if (waiting == null) {
            return false;
        }
        waiting.add(job);
        return true;
    }

    private boolean checksKeyOf(ServiceJob job) {
        return options.checksKeys() && job.call.idempotencyKey() != null;
    }

    private synchronized void execute(ServiceJob job) {
        if (!isRunning(job)) {
            return;
        }
        executionNumber++;
        Output output = new Output(job.operation + "-" + name() + "-" + executionNumber);
        String key = job.call.idempotencyKey();
        if (key != null) {
            executions.merge(key, 1, Integer::sum);
        }
        finish(job);
        answer(job, output);
        if (!checksKeyOf(job)) {
            return;
        }
        outputs.put(key, output);
        for (ServiceJob repeat : repeats.remove(key)) {
            answer(repeat, output);
        }
    }

    private static void answer(ServiceJob job, Output output) {
        job.exchange().answer(200, new WorkCall.Answer(job.exchange().ids(job.ids()), output));
    }
}
