package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.health.EngineTimes;
import org.wagtaillug.id.PoolId;

/**
 * Estimates how long after the sending of a request its engine has fetched the inputs.
 *
 * <p>An engine fetches the inputs before it reads the prompt and does not report it. Its first event comes only after
 * a possibly long prompt, and until then the inputs occupy room that other requests wait for. The shortest recent
 * time to a first event is a better bound, as it covers fetching and the reading of a short prompt. An engine with a
 * queue may fetch later than that and then reports a missing input; the time of its pool is doubled in that case, and
 * halved again after a number of requests without a missing input.
 */
final class FetchTimes {
    /** Number of first events without a missing input after which the time is halved again. */
    private static final int FIRST_EVENTS_UNTIL_HALVING = 32;

    private static final int MAX_FACTOR = 8;

    private final EngineTimes engines;
    private final Map<PoolId, Backoff> backoffs = new HashMap<>();

    private static final class Backoff {
        private int factor = 1;
        private int firstEvents;
    }

    FetchTimes(EngineTimes engines) {
        this.engines = engines;
    }

    /** The time after sending at which inputs may be released; empty without measurements. */
    Optional<Duration> releaseDelay(PoolId pool, Instant now) {
        int factor = backoff(pool).factor;
        return engines.shortest(pool, now).map(shortest -> shortest.multipliedBy(factor));
    }

    /** Records that an engine did not find an input that had been released. */
    void onInputMissing(PoolId pool) {
        Backoff backoff = backoff(pool);
        backoff.factor = Math.min(MAX_FACTOR, backoff.factor * 2);
        backoff.firstEvents = 0;
    }

    /** Records that an engine has started an answer, so that its inputs were available. */
    void onFirstEvent(PoolId pool) {
        Backoff backoff = backoff(pool);
        backoff.firstEvents++;
        if (backoff.firstEvents >= FIRST_EVENTS_UNTIL_HALVING) {
            backoff.factor = Math.max(1, backoff.factor / 2);
            backoff.firstEvents = 0;
        }
    }

    private Backoff backoff(PoolId pool) {
        return backoffs.computeIfAbsent(pool, id -> new Backoff());
    }
}
