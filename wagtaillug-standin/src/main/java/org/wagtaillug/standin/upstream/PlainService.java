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
 * A plain service that counts the executions of each idempotency key in a ledger, which reveals duplicate executions. Like a
 * real ledger, it survives a restart. Work that has started is completed even if the caller disconnects.
 */
public final class PlainService extends Upstream<PlainService.ServiceJob> {
    /** A call in progress on a service. */
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
     * The output of a service.
     *
     * @param confirmation unique for each execution
     */
    record Output(String confirmation) {}

    /**
     * The answer to {@code GET /executions}.
     *
     * @param executions the number of executions of each key
     */
    record Executions(Map<String, Integer> executions) {}

    private final ServiceOptions options;
    private final WorkTime workTime;
    private final Map<String, Integer> executions = new TreeMap<>();
    private final Map<String, Output> outputs = new HashMap<>();
    private final Map<String, List<ServiceJob>> pendingRepeats = new HashMap<>();
    private long executionNumber;

    /** Creates a service with an empty ledger. */
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
    void handleWork(Exchange exchange) {
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
        if (handledAsRepeat(job)) {
            return;
        }
        if (offer(job) && deduplicates(job)) {
            pendingRepeats.put(job.call.idempotencyKey(), new ArrayList<>());
        }
    }

    @Override
    void start(ServiceJob job) {
        timers().after(faults().scaled(workTime.next()), () -> execute(job));
    }

    @Override
    void clearState() {
        for (List<ServiceJob> waiting : pendingRepeats.values()) {
            for (ServiceJob job : waiting) {
                job.exchange().fail(name() + " has restarted");
            }
        }
        pendingRepeats.clear();
    }

    /**
     * Answers a call whose key was already executed from the ledger, and makes a call whose key is being executed wait for
     * that answer. Returns whether the call was a repeat.
     */
    private boolean handledAsRepeat(ServiceJob job) {
        if (!deduplicates(job)) {
            return false;
        }
        Output first = outputs.get(job.call.idempotencyKey());
        if (first != null) {
            answer(job, first);
            return true;
        }
        List<ServiceJob> waiting = pendingRepeats.get(job.call.idempotencyKey());
        if (waiting == null) {
            return false;
        }
        waiting.add(job);
        return true;
    }

    private boolean deduplicates(ServiceJob job) {
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
        if (!deduplicates(job)) {
            return;
        }
        outputs.put(key, output);
        for (ServiceJob repeat : pendingRepeats.remove(key)) {
            answer(repeat, output);
        }
    }

    private static void answer(ServiceJob job, Output output) {
        job.exchange().answer(200, new WorkCall.Answer(job.exchange().ids(job.ids()), output));
    }
}
