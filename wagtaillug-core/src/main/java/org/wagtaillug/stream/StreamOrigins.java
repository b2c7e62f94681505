package org.wagtaillug.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.RequestId;

/**
 * The origins of streams that a node knows, until the streams can no longer be taken up.
 *
 * <pre>{@code
 * origins.put(origin, now);
 * origins.find(stream, now).ifPresent(this::resume);
 * }</pre>
 */
public final class StreamOrigins {
    /** Upper limit of a lifetime that another node or the store states. */
    private static final Duration MAX_LIFETIME = Duration.ofMinutes(2);

    private static final int DEFAULT_CAPACITY = 20_000;

    private final int capacity;
    private final Map<RequestId, Entry> entries = new LinkedHashMap<>();

    private static final class Entry {
        private final StreamOrigin origin;
        private final Instant addedAt;
        private final Instant expiresAt;
        private boolean saved;

        private Entry(StreamOrigin origin, Instant addedAt, Instant expiresAt) {
            this.origin = origin;
            this.addedAt = addedAt;
            this.expiresAt = expiresAt;
        }

        private StreamOrigin at(Instant now) {
            Duration since = Duration.between(addedAt, now);
            return new StreamOrigin(
                    origin.stream(),
                    origin.pool(),
                    origin.version(),
                    origin.sender()
                            .map(sender -> new StreamOrigin.Sender(
                                    sender.upstream(),
                                    sender.incarnation(),
                                    sender.age().plus(since))),
                    Duration.between(now, expiresAt));
        }
    }

    /** Creates an empty table. */
    public StreamOrigins() {
        this(DEFAULT_CAPACITY);
    }

    StreamOrigins(int capacity) {
        this.capacity = capacity;
    }

    /** Adds or replaces the origin of a stream; beyond the capacity, the oldest entries are dropped. */
    public void put(StreamOrigin origin, Instant now) {
        Duration lifetime = origin.lifetime().compareTo(MAX_LIFETIME) < 0 ? origin.lifetime() : MAX_LIFETIME;
        entries.remove(origin.stream());
        entries.put(origin.stream(), new Entry(origin, now, now.plus(lifetime)));
        while (entries.size() > capacity) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /** Adds origins that were read from the store; what is known already is newer. */
    public void putSaved(Collection<StreamOrigin> origins, Instant now) {
        for (StreamOrigin origin : origins) {
            if (!entries.containsKey(origin.stream())) {
                put(origin, now);
            }
            Optional.ofNullable(entries.get(origin.stream())).ifPresent(entry -> entry.saved = true);
        }
    }

    /** The origin of a stream; empty if it is not known. */
    public Optional<StreamOrigin> find(RequestId stream, Instant now) {
        return Optional.ofNullable(entries.get(stream))
                .filter(entry -> now.isBefore(entry.expiresAt))
                .map(entry -> entry.at(now));
    }

    /** The oldest origins that are not in the store. */
    public List<StreamOrigin> unsaved(int most, Instant now) {
        List<StreamOrigin> unsaved = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (unsaved.size() == most) {
                break;
            }
            if (!entry.saved && now.isBefore(entry.expiresAt)) {
                unsaved.add(entry.at(now));
            }
        }
        return unsaved;
    }

    /** Records that the origins of streams were written to the store, or that writing them failed. */
    public void setSaved(Collection<RequestId> streams, boolean saved) {
        for (RequestId stream : streams) {
            Optional.ofNullable(entries.get(stream)).ifPresent(entry -> entry.saved = saved);
        }
    }

    /** Records that the store may have lost what it held. */
    public void setAllUnsaved() {
        entries.values().forEach(entry -> entry.saved = false);
    }

    /** Drops the streams that can no longer be taken up. */
    public void expire(Instant now) {
        entries.values().removeIf(entry -> !now.isBefore(entry.expiresAt));
    }

    /** The number of known streams. */
    public int size() {
        return entries.size();
    }
}
