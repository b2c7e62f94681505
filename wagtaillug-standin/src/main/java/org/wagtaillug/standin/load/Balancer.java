package org.wagtaillug.standin.load;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;

/** Chooses nodes in turn, as the platform's balancer does: only those whose {@code /readyz} answers 200. */
final class Balancer {
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;
    private final List<URI> nodes;
    private final Set<URI> ready = ConcurrentHashMap.newKeySet();
    private final AtomicInteger turn = new AtomicInteger();

    Balancer(HttpClient client, List<URI> nodes) {
        this.client = client;
        this.nodes = nodes;
    }

    /** Asks all nodes whether they are ready; the answers show when they come. */
    void probe() {
        for (URI node : nodes) {
            client.newRequest(node.resolve("/readyz"))
                    .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .send(result -> {
                        if (result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200) {
                            ready.add(node);
                            return;
                        }
                        ready.remove(node);
                    });
        }
    }

    /** Returns the next ready node; {@code avoided} only if there is no other. */
    Optional<URI> next(Optional<URI> avoided) {
        Optional<URI> other = nextOf(avoided);
        return other.isPresent() ? other : nextOf(Optional.empty());
    }

    private Optional<URI> nextOf(Optional<URI> avoided) {
        for (int tried = 0; tried < nodes.size(); tried++) {
            URI node = nodes.get(Math.floorMod(turn.getAndIncrement(), nodes.size()));
            boolean wanted = avoided.isEmpty() || !avoided.get().equals(node);
            if (wanted && ready.contains(node)) {
                return Optional.of(node);
            }
        }
        return Optional.empty();
    }

    /** Takes out a node that cannot be connected to, until its next probe. */
    void unreachable(URI node) {
        ready.remove(node);
    }

    boolean anyReady() {
        return !ready.isEmpty();
    }
}
