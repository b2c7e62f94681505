package org.wagtaillug.tool.account;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Aggregates decision lines in any order: each line is self-contained. The memory used depends on the number of routes,
 * pools and upstreams and on the time that the logs cover, not on the number of requests.
 */
final class RequestStatistics {
    /** The length of the intervals for which each route is reported. */
    static final Duration INTERVAL = Duration.ofSeconds(2);

    /** The maximum number of intervals, enough for one route for a day; lines beyond it count only in the totals. */
    static final int MAX_INTERVALS = 43_200;

    /** The maximum number of names of one kind, so that invalid input cannot exhaust the memory. */
    static final int MAX_NAMES = 1_000;

    private final Map<String, RouteStatistics> routes = new TreeMap<>();
    private final Map<RouteInterval, IntervalStatistics> intervals = new TreeMap<>();
    private final Map<StepKey, StepStatistics> steps = new TreeMap<>();
    private final Map<String, PoolStatistics> pools = new TreeMap<>();
    private final Map<String, UpstreamStatistics> upstreams = new TreeMap<>();
    private final Map<String, DurationHistogram> releases = new TreeMap<>();
    private final Map<String, String> poolByUpstream = new TreeMap<>();
    private final RefusalStatistics refusals = new RefusalStatistics();
    private long decisions;
    private long leftOut;

    /** A route in one time interval. */
    record RouteInterval(Instant start, String route) implements Comparable<RouteInterval> {
        @Override
        public int compareTo(RouteInterval other) {
            int byTime = start.compareTo(other.start);
            return byTime != 0 ? byTime : route.compareTo(other.route);
        }
    }

    /** A step of a route. */
    record StepKey(String route, String step, String pool) implements Comparable<StepKey> {
        @Override
        public int compareTo(StepKey other) {
            int byRoute = route.compareTo(other.route);
            return byRoute != 0 ? byRoute : step.compareTo(other.step);
        }
    }

    /** The duration of a step, and how often it was not completed. */
    static final class StepStatistics {
        final DurationHistogram duration = new DurationHistogram();
        long notCompleted;
    }

    /** The attempts sent to one upstream. */
    static final class UpstreamStatistics {
        final DurationHistogram firstEvent = new DurationHistogram();
        long sends;
        long promptTokens;
        long keptTokens;
        long broken;
    }

    void onDecision(DecisionLine line) {
        decisions++;
        String route = RouteStatistics.route(line);
        switch (line.kind()) {
            case "accept" -> onAccept(line, route);
            case "finish" -> onFinish(line, route);
            case "step" -> onStep(line, route);
            case "send" -> onSend(line);
            case "answer_began" -> upstream(line).firstEvent.add(line.number("since_sent_ms"));
            case "end" -> upstream(line).broken += line.text("end").orElse("").startsWith("Broken") ? 1 : 0;
            case "release" -> {
                String reason = line.text("reason").orElse("?");
                getOrCreate(releases, reason, DurationHistogram::new).add(line.number("since_sent_ms"));
            }
            case "piece_call" -> pool(line).onCall(line);
            case "piece_not_made" -> pool(line).onNotMade(line);
            case "piece_call_broken" -> pool(line).onBroken();
            default -> {
                // Other decisions do not contribute to the time of a request.
            }
        }
    }

    private void onAccept(DecisionLine line, String route) {
        refusals.onAccept(line);
        getOrCreate(routes, route, RouteStatistics::new).onAccept();
        interval(line, route).onAccept();
    }

    private void onFinish(DecisionLine line, String route) {
        getOrCreate(routes, route, RouteStatistics::new).onFinish(line);
        interval(line, route).onFinish(line);
        if (line.text("outcome").orElse("").equals("REFUSED")) {
            refusals.onRefused(line);
        }
    }

    private IntervalStatistics interval(DecisionLine line, String route) {
        long start = Math.floorDiv(line.at().toEpochMilli(), INTERVAL.toMillis()) * INTERVAL.toMillis();
        RouteInterval interval = new RouteInterval(Instant.ofEpochMilli(start), route);
        if (!intervals.containsKey(interval) && intervals.size() >= MAX_INTERVALS) {
            leftOut++;
            return new IntervalStatistics();
        }
        return intervals.computeIfAbsent(interval, key -> new IntervalStatistics());
    }

    private void onStep(DecisionLine line, String route) {
        StepKey key = new StepKey(
                route, line.text("step").orElse("?"), line.text("pool").orElse("?"));
        StepStatistics step = getOrCreate(steps, key, StepStatistics::new);
        if (line.text("outcome").orElse("").startsWith("made")) {
            step.duration.add(line.number("took_ms"));
        } else {
            step.notCompleted++;
        }
    }

    private void onSend(DecisionLine line) {
        UpstreamStatistics upstream = upstream(line);
        upstream.sends++;
        upstream.promptTokens += line.number("prompt_tokens").orElse(0);
        upstream.keptTokens += line.number("kept_tokens").orElse(0);
    }

    private UpstreamStatistics upstream(DecisionLine line) {
        return getOrCreate(upstreams, line.text("upstream").orElse("?"), UpstreamStatistics::new);
    }

    /** Lines about single pieces contain only the upstream; its pool is known from the lines about its calls. */
    private PoolStatistics pool(DecisionLine line) {
        String upstream = line.text("upstream").orElse("?");
        line.text("pool").ifPresent(name -> getOrCreate(poolByUpstream, upstream, () -> name));
        return getOrCreate(pools, poolByUpstream.getOrDefault(upstream, "?"), PoolStatistics::new);
    }

    /** Returns the value for a name, creating it if absent. Once there are too many names, a new value is not stored. */
    private <K, V> V getOrCreate(Map<K, V> values, K name, Supplier<V> factory) {
        V existing = values.get(name);
        if (existing != null) {
            return existing;
        }
        V created = factory.get();
        if (values.size() < MAX_NAMES) {
            values.put(name, created);
        } else {
            leftOut++;
        }
        return created;
    }

    long decisions() {
        return decisions;
    }

    /** The number of updates discarded because there were too many names or intervals. */
    long leftOut() {
        return leftOut;
    }

    Map<String, RouteStatistics> routes() {
        return routes;
    }

    Map<RouteInterval, IntervalStatistics> intervals() {
        return intervals;
    }

    Map<StepKey, StepStatistics> steps() {
        return steps;
    }

    Map<String, PoolStatistics> pools() {
        return pools;
    }

    Map<String, UpstreamStatistics> upstreams() {
        return upstreams;
    }

    Map<String, DurationHistogram> releases() {
        return releases;
    }

    RefusalStatistics refusals() {
        return refusals;
    }
}
