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
 * Writes each decision as one JSON line, and remembers the last ones, so that operators can ask why a request was routed
 * or refused as it was.
 */
public final class DecisionLog {
    private static final Logger LOGGER = System.getLogger("wagtaillug.decision");
    private static final int REMEMBERED = 20_000;

    private final Deque<Remembered> last = new ArrayDeque<>();

    private record Remembered(Instant time, Decision decision) {}

    /** Writes a decision that was made at a time. */
    public synchronized void write(Decision decision, Instant time) {
        LOGGER.log(Level.INFO, "{0}", lineOf(decision));
        last.addLast(new Remembered(time, decision));
        if (last.size() > REMEMBERED) {
            last.removeFirst();
        }
    }

    /** The remembered decisions about a request, oldest first: objects with time, kind, fields and alternatives. */
    public synchronized List<ObjectNode> about(String request) {
        List<ObjectNode> found = new ArrayList<>();
        for (Remembered remembered : last) {
            if (request.equals(remembered.decision().fields().get("request"))) {
                found.add(view(remembered));
            }
        }
        return found;
    }

    private static ObjectNode view(Remembered remembered) {
        ObjectNode view = Json.object();
        view.put("time", remembered.time().toString());
        view.put("kind", remembered.decision().kind());
        ObjectNode fields = view.putObject("fields");
        remembered.decision().fields().forEach(fields::put);
        ArrayNode alternatives = view.putArray("alternatives");
        remembered.decision().alternatives().forEach(alternatives::add);
        return view;
    }

    private static LogFields lineOf(Decision decision) {
        LogFields.Builder line = LogFields.builder().text("decision", decision.kind());
        decision.fields().forEach(line::text);
        if (!decision.alternatives().isEmpty()) {
            line.list("alternatives", decision.alternatives());
        }
        return line.build();
    }
}
