package org.wagtaillug.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/** The streams whose origins this node asks other nodes for. Messages may be lost, so queries are repeated. */
public final class StreamLookups {
    /** A node that has failed is noticed within this time, so that no longer wait brings another answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(1500);

    /** Replicas learn of a stream within this time after its caller has received the first event. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(100);

    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(150);
    private static final int MAX_LOOKUPS = 2000;

    private final Map<RequestId, Lookup> lookups = new HashMap<>();

    private static final class Lookup {
        private final Instant startedAt;
        private final Set<VmId> negativeReplies = new HashSet<>();
        private Instant askDue;

        private Lookup(Instant now) {
            startedAt = now;
            askDue = now;
        }
    }

    /** The state of a lookup that has not found an origin. */
    public enum State {
        /** Some nodes have not answered. */
        SEARCHING,
        /** No node knows the stream. */
        UNKNOWN,
        /** Some nodes did not answer in time. */
        UNANSWERED
    }

    /**
     * Starts a lookup or continues it.
     *
     * @param replicas the nodes to ask
     */
    public State lookUp(RequestId stream, Collection<VmId> replicas, Instant now) {
        Lookup lookup = lookups.get(stream);
        if (lookup == null) {
            if (lookups.size() >= MAX_LOOKUPS) {
                return State.UNANSWERED;
            }
            lookup = new Lookup(now);
            lookups.put(stream, lookup);
        }
        if (!replicas.isEmpty() && lookup.negativeReplies.containsAll(replicas)) {
            return State.UNKNOWN;
        }
        return now.isBefore(lookup.startedAt.plus(TIMEOUT)) ? State.SEARCHING : State.UNANSWERED;
    }

    /** Records that a node does not know some streams; it may still learn of those that have just begun. */
    public void onUnknown(VmId replica, Collection<RequestId> streams, Instant now) {
        for (RequestId stream : streams) {
            Lookup lookup = lookups.get(stream);
            if (lookup != null && !now.isBefore(lookup.startedAt.plus(SETTLING_TIME))) {
                lookup.negativeReplies.add(replica);
            }
        }
    }

    /** Ends a lookup. */
    public void remove(RequestId stream) {
        lookups.remove(stream);
    }

    /** The streams to ask a node for now, of those that are due. */
    public List<RequestId> queries(VmId replica, Instant now) {
        List<RequestId> queries = new ArrayList<>();
        lookups.forEach((stream, lookup) -> {
            if (!now.isBefore(lookup.askDue) && !lookup.negativeReplies.contains(replica)) {
                queries.add(stream);
            }
        });
        return queries;
    }

    /** Records that the queries that were due have been sent, and drops lookups that nobody continues. */
    public void onQueriesSent(Instant now) {
        for (Lookup lookup : lookups.values()) {
            if (!now.isBefore(lookup.askDue)) {
                lookup.askDue = now.plus(REPEAT_INTERVAL);
            }
        }
        lookups.values().removeIf(lookup -> now.isAfter(lookup.startedAt.plus(TIMEOUT.multipliedBy(2))));
    }
}
