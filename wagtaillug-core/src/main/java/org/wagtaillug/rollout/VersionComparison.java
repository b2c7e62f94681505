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
 * Tells whether a new version is worse than the one before it.
 *
 * <p>A sequential test (CUSUM of log-likelihood ratios) for each kind of request and for all together: it needs few answers
 * of a version that fails often, finds one that turns bad later or for one kind only, and seldom condemns a good one. An
 * answer counts as bad if it failed or took several times as long as most answers of the old version; the old version's own
 * rate of bad answers is the baseline.
 */
public final class VersionComparison {
    private static final int MAX_BASELINE = 128;
    private static final int MIN_BASELINE = 8;

    /** Longer than the median of the old version by this factor is slow; cold prompt caches alone stay below it. */
    private static final int SLOW_FACTOR = 4;

    /** Bad answers beyond the baseline that a good version may have, as servers that have just started do. */
    private static final double TOLERANCE = 0.05;

    private static final double MAX_BASELINE_RATE = 0.5;

    /** Bad answers beyond that which make a version bad. */
    private static final double EFFECT = 0.3;

    /** Sum of log-likelihood ratios at which the version counts as bad. */
    private static final double THRESHOLD = 5;

    private static final String ALL_KINDS = "";

    private final Map<String, Baseline> baselines = new HashMap<>();
    private final Map<String, Double> sums = new HashMap<>();
    private int candidates;
    private int bad;

    /** The newest answers of the old version to one kind of request. */
    private static final class Baseline {
        private final Deque<RolloutSample> samples = new ArrayDeque<>();
        private Optional<Duration> slowest = Optional.empty();
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
            slowest =
                    samples.size() < MIN_BASELINE ? Optional.empty() : Optional.of(median().multipliedBy(SLOW_FACTOR));
            long badOnes = samples.stream().filter(this::bad).count();
            badRate = Math.min(MAX_BASELINE_RATE, badOnes / (double) Math.max(MIN_BASELINE, samples.size()));
        }

        private Duration median() {
            List<Duration> times = new ArrayList<>();
            samples.forEach(each -> times.add(each.took()));
            Collections.sort(times);
            return times.get(times.size() / 2);
        }

        private boolean bad(RolloutSample sample) {
            return sample.failed() || slowest.isPresent() && sample.took().compareTo(slowest.get()) > 0;
        }
    }

    /** Takes in what a request saw. */
    public void add(RolloutSample sample) {
        Baseline baseline = baselines.computeIfAbsent(sample.kind(), kind -> new Baseline());
        if (!sample.candidate()) {
            baseline.add(sample);
            return;
        }
        baseline.refresh();
        boolean isBad = baseline.bad(sample);
        candidates++;
        bad += isBad ? 1 : 0;
        double ratio = logRatio(isBad, baseline.badRate);
        sums.merge(sample.kind(), Math.max(0, ratio), (sum, any) -> Math.max(0, sum + ratio));
        sums.merge(ALL_KINDS, Math.max(0, ratio), (sum, any) -> Math.max(0, sum + ratio));
    }

    private static double logRatio(boolean isBad, double baselineRate) {
        double good = baselineRate + TOLERANCE;
        double worse = good + EFFECT;
        return isBad ? Math.log(worse / good) : Math.log((1 - worse) / (1 - good));
    }

    /** Whether the new version is worse. */
    public boolean worse() {
        for (double sum : sums.values()) {
            if (sum >= THRESHOLD) {
                return true;
            }
        }
        return false;
    }

    /** How many answers of the new version were seen. */
    public int candidates() {
        return candidates;
    }

    /** How many of them were bad. */
    public int badCandidates() {
        return bad;
    }
}
