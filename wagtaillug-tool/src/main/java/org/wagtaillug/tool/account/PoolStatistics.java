package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** The batch sizes of the calls to a stage pool, the waiting pieces, and the free space for results. */
final class PoolStatistics {
    private static final int PERCENT = 100;

    private final DurationHistogram longestWait = new DurationHistogram();
    private final Mean pieces = new Mean();
    private final Mean waiting = new Mean();
    private final Mean freePercent = new Mean();
    private final Map<String, Long> notMade = new TreeMap<>();
    private long calls;
    private long maxPieces;
    private long heldBackCalls;
    private long brokenCalls;

    void onCall(DecisionLine line) {
        calls++;
        OptionalLong callPieces = line.number("pieces");
        OptionalLong stillWaiting = line.number("still_waiting");
        OptionalLong pieceLimit = line.number("most");
        maxPieces = Math.max(maxPieces, pieceLimit.orElse(0));
        pieces.add(callPieces);
        waiting.add(stillWaiting);
        longestWait.add(line.number("longest_wait_ms"));
        heldBackCalls += stillWaiting.orElse(0) > 0 && callPieces.orElse(0) < pieceLimit.orElse(0) ? 1 : 0;
        OptionalLong freeBytes = line.number("room_bytes");
        OptionalLong capacityBytes = line.number("room_of");
        if (freeBytes.isPresent() && capacityBytes.orElse(0) > 0) {
            freePercent.add(OptionalLong.of(
                    Math.clamp(PERCENT * freeBytes.getAsLong() / capacityBytes.getAsLong(), 0, PERCENT)));
        }
    }

    void onNotMade(DecisionLine line) {
        notMade.merge(line.text("answer").orElse("?"), 1L, Long::sum);
    }

    void onBroken() {
        brokenCalls++;
    }

    void write(ObjectNode row) {
        row.put("calls", calls);
        pieces.write("pieces", row);
        row.put("most", maxPieces);
        waiting.write("still_waiting", row);
        row.put("held_back", heldBackCalls);
        freePercent.write("room_left_percent", row);
        longestWait.write("wait", row);
        row.put("broken", brokenCalls);
        row.put("not_made", notMade.toString());
    }
}
