package org.wagtaillug.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wagtaillug.logging.LogFields;
import org.wagtaillug.node.Decision;

/**
 * Writes each decision as one JSON line and keeps the latest ones, so that operators can query why a request was routed
 * or refused.
 */
public final class DecisionLog {
    private static final Logger LOGGER = System.getLogger("wagtaillug.decision");
    private static final int MAX_KEPT = 20_000;

    private final Deque<KeptDecision> kept = new ArrayDeque<>();

    private record KeptDecision(Instant time, Decision decision) {}

    /** Writes and keeps a decision. */
    public synchronized void write(Decision decision, Instant time) {
        LOGGER.log(Level.INFO, "{0}", toLine(decision));
        kept.addLast(new KeptDecision(time, decision));
        if (kept.size() > MAX_KEPT) {
            kept.removeFirst();
        }
    }

    /** The kept decisions about a request, oldest first: objects with time, kind, fields and alternatives. */
    public synchronized List<ObjectNode> about(String request) {
        List<ObjectNode> found = new ArrayList<>();
        for (KeptDecision entry : kept) {
            if (request.equals(entry.decision().fields().get("request"))) {
                found.add(toJson(entry));
            }
        }
        return found;
    }

    private static ObjectNode toJson(KeptDecision entry) {
        ObjectNode json = Json.object();
        json.put("time", entry.time().toString());
        json.put("kind", entry.decision().kind());
        ObjectNode fields = json.putObject("fields");
        entry.decision().fields().forEach(fields::put);
        ArrayNode alternatives = json.putArray("alternatives");
        entry.decision().alternatives().forEach(alternatives::add);
        return json;
    }

    private static LogFields toLine(Decision decision) {
        LogFields.Builder line = LogFields.builder().text("decision", decision.kind());
        decision.fields().forEach(line::text);
        if (!decision.alternatives().isEmpty()) {
            line.list("alternatives", decision.alternatives());
        }
        return line.build();
    }
}
