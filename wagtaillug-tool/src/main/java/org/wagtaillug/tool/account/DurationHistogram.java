package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import org.HdrHistogram.Histogram;

/** A histogram of durations in milliseconds; its size does not depend on the number of values. */
final class DurationHistogram {
    /** Longer durations are clamped to this maximum: one hour, longer than any request takes. */
    private static final long MAX_MILLIS = 3_600_000;

    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double P50 = 50;
    private static final double P90 = 90;
    private static final double P99 = 99;

    private final Histogram histogram = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

    void add(OptionalLong millis) {
        millis.ifPresent(value -> histogram.recordValue(Math.clamp(value, 0, MAX_MILLIS)));
    }

    long count() {
        return histogram.getTotalCount();
    }

    /** Writes the fields {@code NAME_p50}, {@code NAME_p90} and {@code NAME_p99}; nothing if there are no values. */
    void write(String name, ObjectNode row) {
        if (count() == 0) {
            return;
        }
        row.put(name + "_p50", histogram.getValueAtPercentile(P50));
        row.put(name + "_p90", histogram.getValueAtPercentile(P90));
        row.put(name + "_p99", histogram.getValueAtPercentile(P99));
    }
}
