package org.wagtaillug.standin.load;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;

/** Selects nodes round-robin, like the platform's load balancer: only those whose {@code /readyz} answers 200. */
final class Balancer {
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;
    private final List<URI> nodes;
    private final Set<URI> probed = ConcurrentHashMap.newKeySet();
    private final Set<URI> ready = ConcurrentHashMap.newKeySet();
    private final AtomicInteger nextIndex = new AtomicInteger();

    Balancer(HttpClient client, List<URI> nodes) {
        this.client = client;
        this.nodes = nodes;
    }

    /** Probes the readiness of all nodes asynchronously. */
    void probe() {
        for (URI node : nodes) {
            client.newRequest(node.resolve("/readyz"))
                    .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .send(result -> onProbed(node, result));
        }
    }

    private void onProbed(URI node, Result result) {
        if (result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200) {
            ready.add(node);
        } else {
            ready.remove(node);
        }
        probed.add(node);
    }

    /** Returns the next ready node; returns {@code avoided} only if no other node is ready. */
    Optional<URI> next(Optional<URI> avoided) {
        Optional<URI> preferred = nextOf(avoided);
        return preferred.isPresent() ? preferred : nextOf(Optional.empty());
    }

    private Optional<URI> nextOf(Optional<URI> avoided) {
        for (int tried = 0; tried < nodes.size(); tried++) {
            URI node = nodes.get(Math.floorMod(nextIndex.getAndIncrement(), nodes.size()));
            boolean eligible = avoided.isEmpty() || !avoided.get().equals(node);
            if (eligible && ready.contains(node)) {
                return Optional.of(node);
            }
        }
        return Optional.empty();
    }

    /** Marks a node as not ready after a failed connection, until its next successful probe. */
    void markUnreachable(URI node) {
        ready.remove(node);
    }

    /** Whether the readiness of each node is known, from at least one probe that was answered or timed out. */
    boolean allProbed() {
        return probed.containsAll(nodes);
    }

    boolean anyReady() {
        return !ready.isEmpty();
    }
}
