package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Refusals by reason: how long the requests had waited, and how many callers sent the request again. */
final class RefusalStatistics {
    /** The maximum number of refused requests to match with later ones; the oldest are discarded. */
    private static final int MAX_REMEMBERED = 20_000;

    private final Map<Reason, ReasonStatistics> reasons = new TreeMap<>();
    private final Map<String, Reason> reasonByContent = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Reason> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    private record Reason(String route, String reason) implements Comparable<Reason> {
        @Override
        public int compareTo(Reason other) {
            int byRoute = route.compareTo(other.route);
            return byRoute != 0 ? byRoute : reason.compareTo(other.reason);
        }
    }

    private static final class ReasonStatistics {
        private final DurationHistogram waited = new DurationHistogram();
        private long count;
        private long returned;
        private long afterStep;
    }

    void onRefused(DecisionLine line) {
        Reason reason = new Reason(RouteStatistics.route(line), reason(line));
        ReasonStatistics statistics = reasons.computeIfAbsent(reason, key -> new ReasonStatistics());
        statistics.count++;
        statistics.afterStep += line.number("slowest_ms").isPresent() ? 1 : 0;
        statistics.waited.add(line.number("total_ms"));
        line.text("content").ifPresent(content -> reasonByContent.put(content, reason));
    }

    /** Counts the request as returned if it was refused before. */
    void onAccept(DecisionLine line) {
        Reason reason = line.text("content").map(reasonByContent::remove).orElse(null);
        if (reason != null) {
            reasons.get(reason).returned++;
        }
    }

    /** The result code, from its own field or else from the start of the field {@code how}. */
    private static String reason(DecisionLine line) {
        String how = line.text("how").orElse("");
        String code =
                how.startsWith("refused ") ? how.substring("refused ".length()).split(":")[0] : how;
        return line.text("code").orElse(code);
    }

    void write(ArrayNode rows) {
        reasons.forEach((reason, statistics) -> {
            var row = rows.addObject();
            row.put("route", reason.route()).put("reason", reason.reason());
            row.put("refused", statistics.count)
                    .put("after_a_step", statistics.afterStep)
                    .put("came_back", statistics.returned);
            statistics.waited.write("waited", row);
        });
    }
}
