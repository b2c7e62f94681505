package org.wagtaillug.standin.load;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a distribution of durations, in milliseconds.
 *
 * @param count the number of measured values
 */
public record Percentiles(long count, double p50, double p90, double p95, double p99, double max) {
    private static final double MICROS_PER_MILLI = 1_000;

    /** Converts a histogram of microseconds. */
    static Percentiles of(Histogram micros) {
        return new Percentiles(
                micros.getTotalCount(),
                at(micros, 50),
                at(micros, 90),
                at(micros, 95),
                at(micros, 99),
                micros.getTotalCount() == 0 ? 0 : micros.getMaxValue() / MICROS_PER_MILLI);
    }

    private static double at(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
