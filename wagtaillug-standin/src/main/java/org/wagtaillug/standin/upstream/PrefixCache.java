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
 * The prompt prefixes that an engine holds, the least recently used dropped first, and the events that tell of them,
 * late and with gaps. Not safe from several threads.
 */
final class PrefixCache {
    private static final int EVENTS_KEPT = 4_096;
    private static final int ONE_LOST_OF = 10;

    /**
     * One change of the cache.
     *
     * @param sequence rises by 1 with each change, lost ones included
     * @param kind {@code stored} or {@code evicted}
     * @param prefix the prefix's hash
     */
    record Event(long sequence, String kind, String prefix) {}

    /**
     * The answer to {@code GET /cache/events}.
     *
     * @param next what to ask from the next time
     */
    record Events(long next, List<Event> events) {}

    private record Published(long visibleAt, boolean lost, Event event) {}

    private final int entries;
    private final long lagMillis;
    private final SplittableRandom random;
    private final Map<String, byte[]> held = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Published> published = new ArrayDeque<>();
    private long sequence = 1;

    PrefixCache(int entries, long lagMillis, long seed) {
        this.entries = entries;
        this.lagMillis = lagMillis;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the cache of a prefix, if held, and marks it as used. */
    Optional<byte[]> get(String prefix) {
        return Optional.ofNullable(held.get(prefix));
    }

    void put(String prefix, byte[] bytes, long now) {
        if (entries == 0) {
            return;
        }
        if (held.put(prefix, bytes) == null) {
            publish("stored", prefix, now);
        }
        while (held.size() > entries) {
            String oldest = held.keySet().iterator().next();
            held.remove(oldest);
            publish("evicted", oldest, now);
        }
    }

    /** Empties the cache; a restart tells nobody of it. */
    void clear() {
        held.clear();
        published.clear();
    }

    Events events(long from, long now) {
        List<Event> events = new ArrayList<>();
        long next = Math.max(from, 1);
        for (Published one : published) {
            if (one.visibleAt() > now) {
                break;
            }
            if (one.event().sequence() < from) {
                continue;
            }
            next = one.event().sequence() + 1;
            if (!one.lost()) {
                events.add(one.event());
            }
        }
        return new Events(next, events);
    }

    private void publish(String kind, String prefix, long now) {
        boolean lost = random.nextInt(ONE_LOST_OF) == 0;
        published.add(new Published(now + lagMillis, lost, new Event(sequence++, kind, prefix)));
        if (published.size() > EVENTS_KEPT) {
            published.removeFirst();
        }
    }
}
