package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Converts statistics to a JSON object with a list of rows for each table. */
final class StatisticsReport {
    private StatisticsReport() {}

    static ObjectNode of(RequestStatistics statistics, LogFileReader reader) {
        ObjectNode report = JsonNodeFactory.instance.objectNode();
        report.put("lines", reader.lines());
        report.put("decisions", statistics.decisions());
        report.put("other_lines", reader.otherLines());
        report.put("broken_lines", reader.malformedLines());
        report.put("left_out", statistics.leftOut());
        ArrayNode routes = report.putArray("routes");
        statistics
                .routes()
                .forEach((name, route) -> route.write(routes.addObject().put("route", name)));
        ArrayNode steps = report.putArray("steps");
        statistics.steps().forEach((name, step) -> {
            ObjectNode row = steps.addObject();
            row.put("route", name.route()).put("step", name.step()).put("pool", name.pool());
            row.put("made", step.duration.count()).put("not_made", step.notCompleted);
            step.duration.write("took", row);
        });
        ArrayNode pools = report.putArray("pools");
        statistics.pools().forEach((name, pool) -> pool.write(pools.addObject().put("pool", name)));
        statistics.refusals().write(report.putArray("refusals"));
        ArrayNode releases = report.putArray("releases");
        statistics.releases().forEach((reason, durations) -> {
            ObjectNode row = releases.addObject().put("reason", reason).put("requests", durations.count());
            durations.write("since_sent", row);
        });
        ArrayNode upstreams = report.putArray("upstreams");
        statistics.upstreams().forEach((name, upstream) -> writeUpstream(upstreams.addObject(), name, upstream));
        ArrayNode intervals = report.putArray("spans");
        statistics
                .intervals()
                .forEach((interval, intervalStatistics) -> intervalStatistics.write(intervals
                        .addObject()
                        .put("from", interval.start().toString())
                        .put("route", interval.route())));
        return report;
    }

    private static void writeUpstream(ObjectNode row, String name, RequestStatistics.UpstreamStatistics upstream) {
        row.put("upstream", name).put("sends", upstream.sends).put("broken", upstream.broken);
        row.put("prompt_tokens", upstream.promptTokens).put("kept_tokens", upstream.keptTokens);
        upstream.firstEvent.write("first_event", row);
    }
}
