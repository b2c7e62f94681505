package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The number of requests of a route accepted in one interval, the outcomes of those that ended in it, and where these spent
 * their time.
 */
final class IntervalStatistics {
    private final OutcomeCounts outcomes = new OutcomeCounts();
    private final Mean untilSend = new Mean();
    private final Mean untilFirstEvent = new Mean();
    private final Mean total = new Mean();

    void onAccept() {
        outcomes.onAccept();
    }

    void onFinish(DecisionLine line) {
        outcomes.onFinish(line);
        untilSend.add(line.number("send_ms"));
        untilFirstEvent.add(RouteStatistics.firstEventDelay(line));
        total.add(line.number("total_ms"));
    }

    void write(ObjectNode row) {
        outcomes.writeSummary(row);
        untilSend.write("send_ms", row);
        untilFirstEvent.write("engine_ms", row);
        total.write("total_ms", row);
    }
}
