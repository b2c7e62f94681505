package org.wagtaillug.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wagtaillug.node.Decision;

/**
 * Writes each decision as one JSON line, and remembers the last ones, so that operators can ask why a request was routed
 * or refused as it was.
 */
public final class DecisionLog {
    private static final Logger LOGGER = System.getLogger("wagtaillug.decision");
    private static final int REMEMBERED = 20_000;

    private final Deque<Decision> last = new ArrayDeque<>();

    /** Writes a decision. */
    public synchronized void write(Decision decision) {
        LOGGER.log(Level.INFO, () -> Json.text(json(decision)));
        last.addLast(decision);
        if (last.size() > REMEMBERED) {
            last.removeFirst();
        }
    }

    /** The remembered decisions about a request, oldest first. */
    public synchronized List<ObjectNode> about(String request) {
        List<ObjectNode> found = new ArrayList<>();
        for (Decision decision : last) {
            if (request.equals(decision.fields().get("request"))) {
                found.add(json(decision));
            }
        }
        return found;
    }

    private static ObjectNode json(Decision decision) {
        ObjectNode json = Json.object();
        json.put("decision", decision.kind());
        decision.fields().forEach(json::put);
        if (!decision.alternatives().isEmpty()) {
            ArrayNode alternatives = json.putArray("alternatives");
            decision.alternatives().forEach(alternatives::add);
        }
        return json;
    }
}
