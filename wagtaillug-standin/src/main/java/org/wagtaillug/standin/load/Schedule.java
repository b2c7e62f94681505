package org.wagtaillug.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Computes the send times of all requests in advance. Interarrival times are exponential (a Poisson process), so arrivals
 * cluster like those of many independent callers. The same file and seed give the same arrivals.
 */
final class Schedule {
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadFile file;
    private final SplittableRandom random;

    private Schedule(LoadFile file, long seed) {
        this.file = file;
        this.random = new SplittableRandom(seed);
    }

    /** Returns all arrivals of a run in chronological order. */
    static List<Arrival> arrivals(LoadFile file, long seed) {
        return new Schedule(file, seed).arrivals();
    }

    private List<Arrival> arrivals() {
        double end = seconds(file.duration());
        List<Arrival> arrivals = new ArrayList<>();
        double expected = 0;
        while (true) {
            expected += random.nextExponential();
            double at = arrivalTime(expected);
            if (at >= end) {
                return arrivals;
            }
            LoadFile.Customer customer = choose(file.customers(), LoadFile.Customer::share);
            LoadFile.Kind kind = choose(file.kinds(), LoadFile.Kind::share);
            arrivals.add(
                    new Arrival(arrivals.size(), (long) (at * NANOS_PER_SECOND), customer, kind, random.nextLong()));
        }
    }

    /**
     * Returns the time in seconds at which the expected number of requests reaches a value: the inverse of the cumulative
     * rate. During the warm-up the rate increases linearly from zero, because no service gets its full load at once.
     */
    private double arrivalTime(double expected) {
        double warmUp = seconds(file.warmUp());
        double withinWarmUp = warmUp * file.rate() / 2;
        if (expected < withinWarmUp) {
            return Math.sqrt(2 * expected * warmUp / file.rate());
        }
        return warmUp + arrivalTimeAfterWarmUp(expected - withinWarmUp, warmUp);
    }

    private double arrivalTimeAfterWarmUp(double expected, double warmUp) {
        if (file.burst() == null) {
            return expected / file.rate();
        }
        double burstAt = seconds(file.burst().at()) - warmUp;
        double burstLength = seconds(file.burst().length());
        double before = burstAt * file.rate();
        if (expected <= before) {
            return expected / file.rate();
        }
        double burstRate = file.rate() * file.burst().factor();
        double within = burstLength * burstRate;
        if (expected <= before + within) {
            return burstAt + (expected - before) / burstRate;
        }
        return burstAt + burstLength + (expected - before - within) / file.rate();
    }

    private <T> T choose(List<T> choices, ToDoubleFunction<T> share) {
        double total = 0;
        for (T choice : choices) {
            total += share.applyAsDouble(choice);
        }
        double remaining = random.nextDouble() * total;
        for (T choice : choices) {
            remaining -= share.applyAsDouble(choice);
            if (remaining < 0) {
                return choice;
            }
        }
        return choices.get(choices.size() - 1);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
