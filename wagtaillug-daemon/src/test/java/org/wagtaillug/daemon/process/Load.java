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

/** Drafts sent without a pause: each node has callers that send the next when the last is answered. */
final class Load implements AutoCloseable {
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final Queue<Failed> failed = new ConcurrentLinkedQueue<>();
    private final AtomicLong served = new AtomicLong();
    private volatile boolean ending;

    private Load() {}

    /**
     * A draft that was not served.
     *
     * @param vm the node that was asked
     * @param answer what it said
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

    /** Waits until some more are served than are now. */
    void awaitServed(int more) {
        long aim = served.get() + more;
        Waiting.until(more + " more drafts are served; not served: " + failed, () -> served.get() >= aim);
    }

    /** Lets the last callers get their answer and gives what was not served. */
    List<Failed> end() throws InterruptedException {
        ending = true;
        callers.shutdown();
        assertThat(callers.awaitTermination(Waiting.BOUND.toSeconds(), TimeUnit.SECONDS))
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
