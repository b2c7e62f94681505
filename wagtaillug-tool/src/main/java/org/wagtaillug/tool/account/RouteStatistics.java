package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;

/** The outcomes of all requests of a route, and where they spent their time. */
final class RouteStatistics {
    private final OutcomeCounts outcomes = new OutcomeCounts();
    private final DurationHistogram untilSend = new DurationHistogram();
    private final DurationHistogram untilFirstEvent = new DurationHistogram();
    private final DurationHistogram total = new DurationHistogram();

    void onAccept() {
        outcomes.onAccept();
    }

    void onFinish(DecisionLine line) {
        outcomes.onFinish(line);
        untilSend.add(line.number("send_ms"));
        untilFirstEvent.add(firstEventDelay(line));
        total.add(line.number("total_ms"));
    }

    void write(ObjectNode row) {
        outcomes.write(row);
        untilSend.write("send", row);
        untilFirstEvent.write("engine", row);
        total.write("total", row);
    }

    /** The time from sending a request to the engine until the first event of its response. */
    static OptionalLong firstEventDelay(DecisionLine line) {
        OptionalLong sendTime = line.number("send_ms");
        OptionalLong firstEvent = line.number("first_event_ms");
        return sendTime.isPresent() && firstEvent.isPresent()
                ? OptionalLong.of(firstEvent.getAsLong() - sendTime.getAsLong())
                : OptionalLong.empty();
    }

    /** The route of a line; {@code none} if the request was refused before its route was determined. */
    static String route(DecisionLine line) {
        return line.text("route").orElse("none");
    }
}
