package org.wagtaillug.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.RouteId;

/**
 * Where requests of one host and path prefix go, and what is owed to them. Immutable.
 *
 * <pre>{@code
 * Route route = Route.builder(new RouteId("lookup"), RouteKind.IDEMPOTENT)
 *         .place("orders.example", "/lookup/")
 *         .pool(new PoolId("orders"), 1)
 *         .attempts(2)
 *         .build();
 * }</pre>
 */
public final class Route {
    private final RouteId id;
    private final RouteKind kind;
    private final String host;
    private final String pathPrefix;
    private final List<WeightedPool> pools;
    private final List<Step> steps;
    private final Duration timeout;
    private final Duration aim;
    private final Duration firstEventWithin;
    private final int rank;
    private final int attempts;
    private final boolean open;
    private final boolean resumable;

    /**
     * A pool and its share of the requests.
     *
     * @param pool which
     * @param weight its share is this over the sum of all weights of the route
     */
    public record WeightedPool(PoolId pool, int weight) {}

    private Route(Builder builder) {
        id = builder.id;
        kind = builder.kind;
        host = builder.host;
        pathPrefix = builder.pathPrefix;
        pools = List.copyOf(builder.pools);
        steps = List.copyOf(builder.steps);
        timeout = builder.timeout;
        aim = builder.aim;
        firstEventWithin = builder.firstEventWithin.compareTo(timeout) < 0 ? builder.firstEventWithin : timeout;
        rank = builder.rank;
        attempts = builder.attempts;
        open = builder.open;
        resumable = builder.resumable;
    }

    /** Starts a route without a place and without pools. */
    public static Builder builder(RouteId id, RouteKind kind) {
        return new Builder(id, kind);
    }

    /** Its name. */
    public RouteId id() {
        return id;
    }

    /** What may be repeated. */
    public RouteKind kind() {
        return kind;
    }

    /** The host that callers name, without a port. */
    public String host() {
        return host;
    }

    /** Begins and ends with a slash. */
    public String pathPrefix() {
        return pathPrefix;
    }

    /** The steps before the request, by number. */
    public List<Step> steps() {
        return steps;
    }

    /** The longest time that a caller is kept waiting. */
    public Duration timeout() {
        return timeout;
    }

    /** The time within which an answer, or the first event of a stream, earns its full worth. */
    public Duration aim() {
        return aim;
    }

    /** A caller leaves a stream that has not begun by then; the timeout for what is not a stream. */
    public Duration firstEventWithin() {
        return firstEventWithin;
    }

    /** 0 goes first. */
    public int rank() {
        return rank;
    }

    /** To how many servers one request may be sent. */
    public int attempts() {
        return attempts;
    }

    /** Whether callers need no key. */
    public boolean open() {
        return open;
    }

    /** Whether a broken stream may go on at another server after the last event that the caller has. */
    public boolean resumable() {
        return resumable;
    }

    /** Whether a request may be sent again after an attempt of which nobody knows whether it ran. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /** The pool of one request: the same on every node, so that a repeat of the request does not change sides. */
    public PoolId poolOf(RequestId request) {
        int total = 0;
        for (WeightedPool each : pools) {
            total += each.weight();
        }
        int place = total == 0 ? 0 : Math.floorMod(request.value().hashCode() * SPREAD, total);
        for (WeightedPool each : pools) {
            place -= each.weight();
            if (place < 0) {
                return each.pool();
            }
        }
        return pools.getLast().pool();
    }

    /** Odd, so that ids that differ in their last character only do not fall on neighbouring places. */
    private static final int SPREAD = 0x9E3779B1;

    /** All pools that its requests go to. */
    public List<WeightedPool> pools() {
        return pools;
    }

    /** Collects the parts of a {@link Route}. */
    public static final class Builder {
        private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);
        private static final Duration LONGEST = Duration.ofDays(1);

        private final RouteId id;
        private final RouteKind kind;
        private final List<WeightedPool> pools = new ArrayList<>();
        private final List<Step> steps = new ArrayList<>();
        private String host = "";
        private String pathPrefix = "/";
        private Duration timeout = DEFAULT_TIMEOUT;
        private Duration aim = DEFAULT_TIMEOUT;
        private Duration firstEventWithin = LONGEST;
        private int rank;
        private int attempts = 1;
        private boolean open;
        private boolean resumable;

        private Builder(RouteId id, RouteKind kind) {
            this.id = id;
            this.kind = kind;
        }

        /** Sets the host and the path prefix, which begins and ends with a slash. */
        public Builder place(String newHost, String newPathPrefix) {
            host = newHost;
            pathPrefix = newPathPrefix;
            return this;
        }

        /** Adds a pool with its weight. */
        public Builder pool(PoolId pool, int weight) {
            pools.add(new WeightedPool(pool, weight));
            return this;
        }

        /** Adds a step; steps come in the order of their numbers. */
        public Builder step(Step step) {
            steps.add(step);
            return this;
        }

        /** Sets the longest wait and the aim. */
        public Builder times(Duration newTimeout, Duration newAim) {
            timeout = newTimeout;
            aim = newAim;
            return this;
        }

        /** Sets how long a caller waits for the first event of a stream. */
        public Builder firstEventWithin(Duration patience) {
            firstEventWithin = patience;
            return this;
        }

        /** Sets the rank, 0 first. */
        public Builder rank(int newRank) {
            rank = newRank;
            return this;
        }

        /** Sets to how many servers one request may be sent. */
        public Builder attempts(int most) {
            attempts = most;
            return this;
        }

        /** Sets whether callers need no key. */
        public Builder open(boolean without) {
            open = without;
            return this;
        }

        /** Sets whether streams may be resumed. */
        public Builder resumable(boolean may) {
            resumable = may;
            return this;
        }

        /**
         * Makes the route.
         *
         * @throws IllegalArgumentException if it has no pool, or a prefix without a slash at both ends
         */
        public Route build() {
            if (pools.isEmpty()) {
                throw new IllegalArgumentException("route " + id + " has no pool; expected one at least");
            }
            if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
                throw new IllegalArgumentException(
                        "route " + id + " has the prefix \"" + pathPrefix + "\"; expected a slash at both ends");
            }
            return new Route(this);
        }
    }
}
