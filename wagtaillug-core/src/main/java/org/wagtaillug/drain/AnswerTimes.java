package org.wagtaillug.drain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.wagtaillug.id.RouteId;

/**
 * The durations of the most recent answers of each route. A node that is shutting down accepts a request only if the
 * longest of them fits into its remaining time.
 *
 * <p>The caller's timeout would be too pessimistic: it is the worst case, several times the usual duration of an
 * answer, and a node would refuse nearly every request as soon as its shutdown begins.
 */
public final class AnswerTimes {
    /** The maximum number of answers kept per route. */
    private static final int MAX_ANSWERS = 32;

    /**
     * The minimum number of answers for an estimate. With four, one in ten of the following answers takes longer than
     * the longest of them, even with the allowance.
     */
    private static final int MIN_ANSWERS = 8;

    /** Older answers do not reflect the current load. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    /** The allowance that is added to the longest kept answer, in percent. */
    private static final int ALLOWANCE_PERCENT = 25;

    private static final int PERCENT = 100;

    private final Map<RouteId, Deque<Answer>> routes = new HashMap<>();

    private record Answer(Instant endedAt, Duration fromArrival, Duration fromSending) {}

    /**
     * Records an answer that was completed, or that lasted until the deadline of its request.
     *
     * @param fromArrival the time from the arrival of the request to the end of the answer
     * @param fromSending the time from sending the last attempt to the end of the answer
     */
    public void onAnswered(RouteId route, Duration fromArrival, Duration fromSending, Instant now) {
        if (!routes.containsKey(route)) {
            // Routes are added and removed with configuration changes, so evict those without recent answers.
            routes.values().removeIf(answers -> expired(answers.getLast(), now));
        }
        Deque<Answer> answers = routes.computeIfAbsent(route, id -> new ArrayDeque<>());
        answers.addLast(new Answer(now, fromArrival, fromSending));
        if (answers.size() > MAX_ANSWERS) {
            answers.removeFirst();
        }
    }

    /** The expected maximum duration of a request of the route from its arrival; empty if there are too few answers. */
    public Optional<Duration> fromArrival(RouteId route, Instant now) {
        return longest(route, Answer::fromArrival, now);
    }

    /**
     * The expected maximum duration of an attempt of the route from its sending; empty if there are too few answers.
     */
    public Optional<Duration> fromSending(RouteId route, Instant now) {
        return longest(route, Answer::fromSending, now);
    }

    private Optional<Duration> longest(RouteId route, Function<Answer, Duration> time, Instant now) {
        int count = 0;
        Duration longest = Duration.ZERO;
        for (Answer answer : routes.getOrDefault(route, new ArrayDeque<>())) {
            if (expired(answer, now)) {
                continue;
            }
            count++;
            Duration took = time.apply(answer);
            longest = took.compareTo(longest) > 0 ? took : longest;
        }
        Duration allowed = longest.multipliedBy(PERCENT + ALLOWANCE_PERCENT).dividedBy(PERCENT);
        return count < MIN_ANSWERS ? Optional.empty() : Optional.of(allowed);
    }

    private static boolean expired(Answer answer, Instant now) {
        return now.isAfter(answer.endedAt().plus(RETENTION));
    }
}
