package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Waits until every live node has a version in force. */
final class ForceWait {
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final AdministrationClient client;
    private final Surroundings surroundings;

    ForceWait(AdministrationClient client, Surroundings surroundings) {
        this.client = client;
        this.surroundings = surroundings;
    }

    /**
     * How far a version is in force.
     *
     * @param version which
     * @param reached how many live nodes have it
     * @param nodes how many live nodes there are
     * @param waitingFor those that have not said that they have it
     */
    record Reach(long version, int reached, int nodes, List<String> waitingFor) {
        boolean everywhere() {
            return nodes > 0 && reached == nodes && waitingFor.isEmpty();
        }
    }

    /** The reach of a version when it is everywhere or the time is up, whichever comes first. */
    Either<ToolFailure, Reach> await(long version, Duration timeout) {
        Instant latest = surroundings.time().instant().plus(timeout);
        while (true) {
            Either<ToolFailure, Reach> reach =
                    client.get("/admin/changes/" + version).map(body -> reach(version, body));
            boolean everywhere = reach.isRight() && reach.get().everywhere();
            if (everywhere || !surroundings.time().instant().isBefore(latest)) {
                return reach;
            }
            surroundings.pause().pause(PAUSE);
        }
    }

    /** A node counts only by its own fresh word; what the asked node concludes is not enough. */
    private static Reach reach(long version, JsonNode body) {
        int reached = 0;
        List<String> waitingFor = new ArrayList<>();
        for (JsonNode name : body.path("waiting_for")) {
            waitingFor.add(name.asText());
        }
        for (JsonNode node : body.path("nodes")) {
            if (node.path("fresh").asBoolean() && node.path("through").asLong() >= version) {
                reached++;
                continue;
            }
            String name = node.path("node").asText();
            if (!waitingFor.contains(name)) {
                waitingFor.add(name);
            }
        }
        return new Reach(version, reached, body.path("nodes").size(), waitingFor);
    }
}
