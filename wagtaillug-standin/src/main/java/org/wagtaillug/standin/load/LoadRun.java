package org.wagtaillug.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.wagtaillug.standin.http.Json;

/** A load run. One thread sends the requests at their scheduled times, other threads process the answers. */
final class LoadRun implements AutoCloseable {
    private static final int THREADS = 64;
    private static final int CONNECTIONS_PER_NODE = 4_096;
    private static final int QUEUED_PER_NODE = 16_384;
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;
    private static final long PROBE_INTERVAL_MILLIS = 250;
    private static final long READY_TIMEOUT_MILLIS = 30_000;
    private static final long LEDGER_TIMEOUT_MILLIS = 10_000;

    private final LoadFile file;
    private final List<Arrival> arrivals;
    private final Recorder recorder;
    private final CountDownLatch pending;
    private final HttpClient client = new HttpClient();
    private final Balancer balancer;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "load-timer");
        thread.setDaemon(true);
        return thread;
    });

    private final Runnable started;

    /**
     * Creates a run.
     *
     * @param started called when sending starts
     */
    LoadRun(LoadFile file, long seed, Runnable started) {
        this.file = file;
        this.started = started;
        this.arrivals = Schedule.arrivals(file, seed);
        this.recorder = new Recorder(file, seed);
        this.pending = new CountDownLatch(arrivals.size());
        this.balancer = new Balancer(client, file.nodes());
    }

    /**
     * Sends all requests and waits until they have ended.
     *
     * @return the report, or an error message
     */
    Either<String, LoadReport> run() throws Exception {
        startClient();
        timer.scheduleWithFixedDelay(balancer::probe, 0, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        if (!awaitReady()) {
            return Either.left(
                    "no node is ready: " + file.nodes() + ", expected one within " + READY_TIMEOUT_MILLIS + " ms");
        }
        long start = System.nanoTime();
        started.run();
        scheduleFaults();
        Call.Context context = new Call.Context(client, balancer, recorder, timer);
        for (Arrival arrival : arrivals) {
            long due = start + arrival.atNanos();
            parkUntil(due);
            long now = System.nanoTime();
            recorder.sent(now - due);
            Call.Due dueAt = new Call.Due(due, System.currentTimeMillis());
            new Call(context, arrival, call -> pending.countDown(), dueAt).send(now);
        }
        if (!pending.await(maxCompletionMillis(), TimeUnit.MILLISECONDS)) {
            return Either.left(pending.getCount() + " requests did not complete in time");
        }
        return executions().map(recorder::report);
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IOException("cannot stop the HTTP client", failure);
        }
    }

    private void startClient() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName("load");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(CONNECTIONS_PER_NODE);
        client.setMaxRequestsQueuedPerDestination(QUEUED_PER_NODE);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.start();
    }

    /** Waits for a ready node and for the probes of all others, so that every ready node takes part from the beginning. */
    private boolean awaitReady() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        while (!balancer.anyReady() || !balancer.allProbed()) {
            if (System.nanoTime() > end) {
                return false;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
        return true;
    }

    private static void parkUntil(long due) {
        long wait = due - System.nanoTime();
        while (wait > 0) {
            LockSupport.parkNanos(wait);
            wait = due - System.nanoTime();
        }
    }

    private long maxCompletionMillis() {
        long longest = 0;
        for (LoadFile.Kind kind : file.kinds()) {
            longest = Math.max(longest, kind.deadline().toMillis());
        }
        int maxSends = file.nodes().size() + 1;
        return maxSends * (longest + Call.GRACE_MILLIS);
    }

    private void scheduleFaults() {
        for (LoadFile.TimedCall fault : file.faults()) {
            timer.schedule(() -> call(fault), fault.at().toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void call(LoadFile.TimedCall fault) {
        String body = Json.text(fault.body());
        client.newRequest(fault.url())
                .method(fault.method())
                .body(new StringRequestContent("application/json", body))
                .send(result -> {
                    String outcome = result.isSucceeded()
                            ? Integer.toString(result.getResponse().getStatus())
                            : String.valueOf(result.getFailure().getMessage());
                    recorder.fault(new LoadReport.FaultReport(
                            fault.at().toMillis(), fault.url().toString(), body, outcome));
                });
    }

    private Either<String, Map<String, Integer>> executions() throws InterruptedException {
        Map<String, Integer> executions = new HashMap<>();
        for (URI ledger : file.ledgers()) {
            try {
                ContentResponse response = client.newRequest(ledger.resolve("/executions"))
                        .timeout(LEDGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .send();
                if (response.getStatus() != HttpStatus.OK_200) {
                    return Either.left(ledger + ": answered " + response.getStatus() + ", expected its executions");
                }
                JsonNode read = Json.mapper().readTree(response.getContent()).path("executions");
                read.properties()
                        .forEach(entry -> executions.merge(
                                entry.getKey(), entry.getValue().asInt(), Integer::sum));
            } catch (ExecutionException | TimeoutException | IOException failure) {
                return Either.left(ledger + ": its executions cannot be read: " + failure.getMessage());
            }
        }
        return Either.right(executions);
    }
}
