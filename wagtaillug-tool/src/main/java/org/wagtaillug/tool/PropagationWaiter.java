package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Waits until a version is in force on every live node. */
final class PropagationWaiter {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    private final AdministrationClient client;
    private final ToolEnvironment environment;

    PropagationWaiter(AdministrationClient client, ToolEnvironment environment) {
        this.client = client;
        this.environment = environment;
    }

    /**
     * The nodes on which a version is in force.
     *
     * @param version the version
     * @param reachedNodes the number of live nodes on which it is in force
     * @param totalNodes the number of live nodes
     * @param pendingNodes the nodes that have not confirmed it
     */
    record Propagation(long version, int reachedNodes, int totalNodes, List<String> pendingNodes) {
        boolean isComplete() {
            return totalNodes > 0 && reachedNodes == totalNodes && pendingNodes.isEmpty();
        }
    }

    /** Polls until the version is in force on every live node or the timeout expires, and returns the last result. */
    Either<ToolFailure, Propagation> await(long version, Duration timeout) {
        Instant deadline = environment.clock().instant().plus(timeout);
        while (true) {
            Either<ToolFailure, Propagation> propagation =
                    client.get("/admin/changes/" + version).map(body -> parse(version, body));
            boolean complete = propagation.isRight() && propagation.get().isComplete();
            if (complete || !environment.clock().instant().isBefore(deadline)) {
                return propagation;
            }
            environment.sleeper().sleep(POLL_INTERVAL);
        }
    }

    /** Counts a node only by its own recently reported offset: the responding node's own conclusion is not sufficient. */
    private static Propagation parse(long version, JsonNode body) {
        int reachedNodes = 0;
        List<String> pendingNodes = new ArrayList<>();
        for (JsonNode name : body.path("waiting_for")) {
            pendingNodes.add(name.asText());
        }
        for (JsonNode node : body.path("nodes")) {
            if (node.path("fresh").asBoolean() && node.path("through").asLong() >= version) {
                reachedNodes++;
                continue;
            }
            String name = node.path("node").asText();
            if (!pendingNodes.contains(name)) {
                pendingNodes.add(name);
            }
        }
        return new Propagation(version, reachedNodes, body.path("nodes").size(), pendingNodes);
    }
}
