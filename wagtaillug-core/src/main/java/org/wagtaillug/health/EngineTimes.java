package org.wagtaillug.health;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.PoolId;

/** Recent times to first event of the engines of each pool, measured from the sending of the request. */
public final class EngineTimes {
    /** Maximum number of samples kept for a pool. */
    private static final int MAX_SAMPLES = 64;

    /** Minimum number of samples for an estimate. */
    private static final int MIN_SAMPLES = 8;

    /** Older samples do not reflect the current load of the engines. */
    private static final Duration SAMPLE_RETENTION = Duration.ofMinutes(1);

    /** The percentile of the samples' times per token that estimates use. */
    private static final int PERCENTILE = 90;

    private static final int PERCENT = 100;

    private final Map<PoolId, Deque<Sample>> samplesByPool = new HashMap<>();

    private record Sample(Instant at, int tokens, Duration took) {}

    /** Records the time to first event of an answer to a prompt of so many tokens. */
    public void onFirstEvent(PoolId pool, int tokens, Duration took, Instant now) {
        Deque<Sample> samples = samplesByPool.computeIfAbsent(pool, id -> new ArrayDeque<>());
        samples.addLast(new Sample(now, tokens, took));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** The shortest recent time, as an estimate for a short prompt at an idle engine; empty without enough samples. */
    public Optional<Duration> shortest(PoolId pool, Instant now) {
        Deque<Sample> samples = recentSamples(pool, now);
        if (samples.size() < MIN_SAMPLES) {
            return Optional.empty();
        }
        Duration shortest = samples.getFirst().took();
        for (Sample sample : samples) {
            shortest = sample.took().compareTo(shortest) < 0 ? sample.took() : shortest;
        }
        return Optional.of(shortest);
    }

    /**
     * Estimates the time to first event for a prompt of so many tokens: the shortest recent time plus a time per token, which
     * includes queue delays and the effect of cached segments. Empty without enough samples.
     */
    public Optional<Duration> expected(PoolId pool, int tokens, Instant now) {
        Optional<Duration> shortest = shortest(pool, now);
        return shortest.map(base -> base.plusNanos(Math.round(nanosPerToken(pool, base) * tokens)));
    }

    private double nanosPerToken(PoolId pool, Duration shortest) {
        Deque<Sample> samples = samplesByPool.get(pool);
        double[] nanosPerToken = new double[samples.size()];
        int count = 0;
        for (Sample sample : samples) {
            nanosPerToken[count] = sample.took().minus(shortest).toNanos() / (double) Math.max(1, sample.tokens());
            count++;
        }
        Arrays.sort(nanosPerToken);
        return nanosPerToken[(count - 1) * PERCENTILE / PERCENT];
    }

    private Deque<Sample> recentSamples(PoolId pool, Instant now) {
        Deque<Sample> samples = samplesByPool.getOrDefault(pool, new ArrayDeque<>());
        while (!samples.isEmpty() && now.isAfter(samples.getFirst().at().plus(SAMPLE_RETENTION))) {
            samples.removeFirst();
        }
        return samples;
    }
}
