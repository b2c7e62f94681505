package org.wagtaillug.standin.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * The LRU cache of prompt prefixes of an engine, and the events that report its changes. The events are delayed and some of
 * them are lost. Not thread-safe.
 */
final class PrefixCache {
    private static final int MAX_EVENTS = 4_096;
    private static final int EVENT_LOSS_ODDS = 10;

    /**
     * A change of the cache.
     *
     * @param sequence increases by 1 with each change, including lost events
     * @param kind {@code stored} or {@code evicted}
     * @param prefix the prefix's hash
     */
    record Event(long sequence, String kind, String prefix) {}

    /**
     * The answer to {@code GET /cache/events}.
     *
     * @param next the sequence number to start from in the next call
     */
    record Events(long next, List<Event> events) {}

    private record Published(long visibleAt, boolean lost, Event event) {}

    private final int capacity;
    private final long lagMillis;
    private final SplittableRandom random;
    private final Map<String, byte[]> cached = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Published> published = new ArrayDeque<>();
    private long sequence = 1;

    PrefixCache(int capacity, long lagMillis, long seed) {
        this.capacity = capacity;
        this.lagMillis = lagMillis;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the cached content of a prefix, if any, and marks it as used. */
    Optional<byte[]> get(String prefix) {
        return Optional.ofNullable(cached.get(prefix));
    }

    void put(String prefix, byte[] bytes, long now) {
        if (capacity == 0) {
            return;
        }
        if (cached.put(prefix, bytes) == null) {
            publish("stored", prefix, now);
        }
        while (cached.size() > capacity) {
            String oldest = cached.keySet().iterator().next();
            cached.remove(oldest);
            publish("evicted", oldest, now);
        }
    }

    /** Empties the cache and drops pending events; a restart publishes no events. */
    void clear() {
        cached.clear();
        published.clear();
    }

    Events events(long from, long now) {
        List<Event> events = new ArrayList<>();
        long next = Math.max(from, 1);
        for (Published entry : published) {
            if (entry.visibleAt() > now) {
                break;
            }
            if (entry.event().sequence() < from) {
                continue;
            }
            next = entry.event().sequence() + 1;
            if (!entry.lost()) {
                events.add(entry.event());
            }
        }
        return new Events(next, events);
    }

    private void publish(String kind, String prefix, long now) {
        boolean lost = random.nextInt(EVENT_LOSS_ODDS) == 0;
        published.add(new Published(now + lagMillis, lost, new Event(sequence++, kind, prefix)));
        if (published.size() > MAX_EVENTS) {
            published.removeFirst();
        }
    }
}
