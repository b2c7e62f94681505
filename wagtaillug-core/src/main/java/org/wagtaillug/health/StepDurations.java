package org.wagtaillug.health;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.RouteId;

/** The latest durations of each step of each route, from the order to the last result. */
public final class StepDurations {
    /** Maximum number of samples kept, small enough to follow a burst within a second or two. */
    private static final int MAX_SAMPLES = 8;

    private static final int MIN_SAMPLES = 4;

    private final Map<Key, Deque<Duration>> latest = new HashMap<>();

    private record Key(RouteId route, int step) {}

    /** Records the duration of a step. */
    public void onCompleted(RouteId route, int step, Duration took) {
        Deque<Duration> durations = latest.computeIfAbsent(new Key(route, step), key -> new ArrayDeque<>());
        durations.addLast(took);
        if (durations.size() > MAX_SAMPLES) {
            durations.removeFirst();
        }
    }

    /** The median of the latest durations; empty without enough samples. */
    public Optional<Duration> median(RouteId route, int step) {
        return sorted(route, step).map(durations -> durations.get((durations.size() - 1) / 2));
    }

    /** The longest of the latest durations; empty without enough samples. */
    public Optional<Duration> longest(RouteId route, int step) {
        return sorted(route, step).map(List::getLast);
    }

    private Optional<List<Duration>> sorted(RouteId route, int step) {
        Deque<Duration> durations = latest.getOrDefault(new Key(route, step), new ArrayDeque<>());
        if (durations.size() < MIN_SAMPLES) {
            return Optional.empty();
        }
        List<Duration> sorted = new ArrayList<>(durations);
        sorted.sort(null);
        return Optional.of(sorted);
    }
}
