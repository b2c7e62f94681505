package org.wagtaillug.standin.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Accumulates a {@link GroupReport}. Not thread-safe. */
final class GroupTally {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final String UNSPECIFIED = "not-said";
    private static final long NANOS_PER_MICRO = 1_000;

    private long offered;
    private long served;
    private long late;
    private long lost;
    private long refused;
    private double worthOffered;
    private double worthServed;
    private final Map<String, Long> refusedByCode = new TreeMap<>();
    private final Map<String, Long> refusedByRun = new TreeMap<>();
    private final Map<String, Long> lostByReason = new TreeMap<>();
    private final Histogram whole = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram firstToken = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram betweenTokens = new Histogram(SIGNIFICANT_DIGITS);

    void end(Outcome outcome, double worth, long wholeNanos) {
        offered++;
        worthOffered += worth;
        switch (outcome) {
            case Outcome.Served answer -> {
                record(whole, wholeNanos);
                if (!answer.inTime()) {
                    late++;
                    return;
                }
                served++;
                worthServed += worth;
            }
            case Outcome.Refused refusal -> {
                refused++;
                refusedByCode.merge(refusal.code(), 1L, Long::sum);
                refusedByRun.merge(refusal.run().isEmpty() ? UNSPECIFIED : refusal.run(), 1L, Long::sum);
            }
            case Outcome.Lost loss -> {
                lost++;
                lostByReason.merge(loss.reason(), 1L, Long::sum);
            }
        }
    }

    void firstToken(long nanos) {
        record(firstToken, nanos);
    }

    void betweenTokens(long nanos) {
        record(betweenTokens, nanos);
    }

    GroupReport report() {
        return new GroupReport(
                offered,
                served,
                late,
                lost,
                refused,
                offered == 0 ? 1 : (double) served / offered,
                worthOffered,
                worthServed,
                refusedByCode,
                refusedByRun,
                lostByReason,
                Percentiles.of(whole),
                Percentiles.of(firstToken),
                Percentiles.of(betweenTokens));
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.max(0, nanos) / NANOS_PER_MICRO);
    }
}
