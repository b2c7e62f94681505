package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;

/** The number of requests accepted and of each outcome. */
final class OutcomeCounts {
    private long accepted;
    private long inTime;
    private long late;
    private long lateBySteps;
    private long refused;
    private long failed;
    private long lost;
    private long callerLeft;

    void onAccept() {
        accepted++;
    }

    void onFinish(DecisionLine line) {
        switch (line.text("outcome").orElse("")) {
            case "PASSED" -> onPassed(line);
            case "REFUSED" -> refused++;
            case "FAILED" -> failed++;
            case "LOST" -> lost++;
            case "LEFT" -> callerLeft++;
            default -> {
                // An outcome unknown to this version is not counted in any column.
            }
        }
    }

    /** A stream is in time if its first event is, any other response if it is complete in time. */
    private void onPassed(DecisionLine line) {
        OptionalLong firstEvent = line.number("first_event_ms");
        OptionalLong responseTime = firstEvent.isPresent() ? firstEvent : line.number("total_ms");
        OptionalLong target = line.number("aim_ms");
        boolean comparable = target.isPresent() && responseTime.isPresent();
        if (!comparable || responseTime.getAsLong() <= target.getAsLong()) {
            inTime++;
            return;
        }
        late++;
        OptionalLong sendTime = line.number("send_ms");
        lateBySteps += sendTime.isPresent() && sendTime.getAsLong() * 2 > responseTime.getAsLong() ? 1 : 0;
    }

    void write(ObjectNode row) {
        row.put("asked", accepted).put("in_time", inTime).put("late", late).put("late_by_steps", lateBySteps);
        row.put("refused", refused).put("failed", failed).put("lost", lost).put("left", callerLeft);
    }

    void writeSummary(ObjectNode row) {
        row.put("asked", accepted).put("in_time", inTime).put("late", late).put("refused", refused);
        row.put("other", failed + lost + callerLeft);
    }
}
