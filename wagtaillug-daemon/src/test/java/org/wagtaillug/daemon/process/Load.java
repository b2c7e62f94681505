package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Sends drafts without a pause: each node has callers that send the next draft when the last one is answered. */
final class Load implements AutoCloseable {
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final Queue<Failed> failed = new ConcurrentLinkedQueue<>();
    private final AtomicLong served = new AtomicLong();
    private volatile boolean ending;

    private Load() {}

    /**
     * A draft that was not served.
     *
     * @param vm the node that received it
     * @param answer its answer
     */
    record Failed(String vm, Answer answer) {}

    static Load start(List<NodeProcess> nodes, int callersEach) {
        Load load = new Load();
        for (NodeProcess node : nodes) {
            for (int caller = 0; caller < callersEach; caller++) {
                load.callers.execute(() -> load.call(node));
            }
        }
        return load;
    }

    private void call(NodeProcess node) {
        while (!ending) {
            Answer answer = node.draft(Fleet.DEADLINE_MILLIS);
            if (answer.served()) {
                served.incrementAndGet();
                continue;
            }
            failed.add(new Failed(node.vm(), answer));
        }
    }

    /** Waits until the given number of further drafts are served. */
    void awaitServed(int more) {
        long target = served.get() + more;
        Waiting.until(more + " more drafts are served; not served: " + failed, () -> served.get() >= target);
    }

    /** Waits for the last answers and returns the drafts that were not served. */
    List<Failed> end() throws InterruptedException {
        ending = true;
        callers.shutdown();
        assertThat(callers.awaitTermination(Waiting.TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .as("every caller got an answer")
                .isTrue();
        return new ArrayList<>(failed);
    }

    @Override
    public void close() {
        ending = true;
        callers.shutdownNow();
    }
}
