package org.wagtaillug.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides whether a new version is worse than the previous one.
 *
 * <p>A sequential test (CUSUM of log-likelihood ratios) per kind of request and over all kinds: it needs few answers of
 * a version that fails often, detects a version that turns bad later or for one kind only, and has a low false-positive
 * rate. An answer is bad if it failed or took several times the median of the old version; the rate of bad answers of
 * the old version is the baseline.
 */
public final class VersionComparison {
    private static final int MAX_BASELINE = 128;
    private static final int MIN_BASELINE = 8;

    /**
     * An answer is slow if it takes longer than the median of the old version by this factor; cold prompt caches alone
     * stay below it.
     */
    private static final int SLOW_FACTOR = 4;

    /** The rate of bad answers above the baseline that is tolerated, as newly started servers have more of them. */
    private static final double TOLERANCE = 0.05;

    private static final double MAX_BASELINE_RATE = 0.5;

    /** The rate of bad answers above the tolerated one at which a version is bad. */
    private static final double MIN_EFFECT = 0.3;

    /** The sum of log-likelihood ratios at which the version is considered bad. */
    private static final double THRESHOLD = 5;

    private static final String ALL_KINDS = "";

    private final Map<String, Baseline> baselines = new HashMap<>();
    private final Map<String, Double> sums = new HashMap<>();
    private int candidateCount;
    private int badCandidateCount;

    /** The most recent answers of the old version to one kind of request. */
    private static final class Baseline {
        private final Deque<RolloutSample> samples = new ArrayDeque<>();
        private Optional<Duration> slowLimit = Optional.empty();
        private double badRate;
        private boolean current;

        private void add(RolloutSample sample) {
            samples.addLast(sample);
            if (samples.size() > MAX_BASELINE) {
                samples.removeFirst();
            }
            current = false;
        }

        private void refresh() {
            if (current) {
                return;
            }
            current = true;
            slowLimit =
                    samples.size() < MIN_BASELINE ? Optional.empty() : Optional.of(median().multipliedBy(SLOW_FACTOR));
            long badCount = samples.stream().filter(this::bad).count();
            badRate = Math.min(MAX_BASELINE_RATE, badCount / (double) Math.max(MIN_BASELINE, samples.size()));
        }

        private Duration median() {
            List<Duration> times = new ArrayList<>();
            samples.forEach(each -> times.add(each.took()));
            Collections.sort(times);
            return times.get(times.size() / 2);
        }

        private boolean bad(RolloutSample sample) {
            return sample.failed() || slowLimit.isPresent() && sample.took().compareTo(slowLimit.get()) > 0;
        }
    }

    /** Adds the result of a request. */
    public void add(RolloutSample sample) {
        Baseline baseline = baselines.computeIfAbsent(sample.kind(), kind -> new Baseline());
        if (!sample.candidate()) {
            baseline.add(sample);
            return;
        }
        baseline.refresh();
        boolean isBad = baseline.bad(sample);
        candidateCount++;
        badCandidateCount += isBad ? 1 : 0;
        double ratio = logRatio(isBad, baseline.badRate);
        sums.merge(sample.kind(), Math.max(0, ratio), (sum, any) -> Math.max(0, sum + ratio));
        sums.merge(ALL_KINDS, Math.max(0, ratio), (sum, any) -> Math.max(0, sum + ratio));
    }

    private static double logRatio(boolean isBad, double baselineRate) {
        double acceptableRate = baselineRate + TOLERANCE;
        double badVersionRate = acceptableRate + MIN_EFFECT;
        return isBad
                ? Math.log(badVersionRate / acceptableRate)
                : Math.log((1 - badVersionRate) / (1 - acceptableRate));
    }

    /** Whether the new version is worse than the old one. */
    public boolean worse() {
        for (double sum : sums.values()) {
            if (sum >= THRESHOLD) {
                return true;
            }
        }
        return false;
    }

    /** The number of answers of the new version. */
    public int candidates() {
        return candidateCount;
    }

    /** The number of bad answers of the new version. */
    public int badCandidates() {
        return badCandidateCount;
    }
}
