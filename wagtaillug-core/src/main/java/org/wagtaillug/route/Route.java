package org.wagtaillug.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.RouteId;

/**
 * The pools, steps, limits and latency target for the requests of one host and path prefix. Immutable.
 *
 * <pre>{@code
 * Route route = Route.builder(new RouteId("lookup"), RouteKind.IDEMPOTENT)
 *         .hostAndPath("orders.example", "/lookup/")
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
    private final Duration latencyTarget;
    private final Duration firstEventWithin;
    private final int rank;
    private final int attempts;
    private final boolean open;
    private final boolean resumable;

    /**
     * A pool and its weight in the distribution of requests.
     *
     * @param pool the pool
     * @param weight its share of the requests is this weight divided by the sum of the route's weights
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
        latencyTarget = builder.latencyTarget;
        firstEventWithin = builder.firstEventWithin.compareTo(timeout) < 0 ? builder.firstEventWithin : timeout;
        rank = builder.rank;
        attempts = builder.attempts;
        open = builder.open;
        resumable = builder.resumable;
    }

    /** Creates a builder for a route, without a host, a path prefix or pools. */
    public static Builder builder(RouteId id, RouteKind kind) {
        return new Builder(id, kind);
    }

    /** The route's id. */
    public RouteId id() {
        return id;
    }

    /** Whether requests may run more than once, and how they are answered. */
    public RouteKind kind() {
        return kind;
    }

    /** The host of the requests, without a port. */
    public String host() {
        return host;
    }

    /** The prefix of the requests' paths, which begins and ends with a slash. */
    public String pathPrefix() {
        return pathPrefix;
    }

    /** The steps that precede the request, by number. */
    public List<Step> steps() {
        return steps;
    }

    /** The maximum time until a request is answered. */
    public Duration timeout() {
        return timeout;
    }

    /** The latency target: the time within which an answer, or the first event of a stream, earns its full worth. */
    public Duration latencyTarget() {
        return latencyTarget;
    }

    /** How long a caller waits for the first event of a stream before it disconnects; at most the timeout. */
    public Duration firstEventWithin() {
        return firstEventWithin;
    }

    /** The priority class; 0 is served first. */
    public int rank() {
        return rank;
    }

    /** The maximum number of servers to which one request may be sent. */
    public int attempts() {
        return attempts;
    }

    /** Whether callers need no API key. */
    public boolean open() {
        return open;
    }

    /** Whether an interrupted stream may be resumed at another server after the last event that the caller received. */
    public boolean resumable() {
        return resumable;
    }

    /** Whether a request may be retried after an attempt of which it is unknown whether it ran. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /** The pool for a request, which is the same on every node, so that a retry does not switch pools. */
    public PoolId poolOf(RequestId request) {
        int totalWeight = 0;
        for (WeightedPool weighted : pools) {
            totalWeight += weighted.weight();
        }
        int position = totalWeight == 0 ? 0 : Math.floorMod(request.value().hashCode() * HASH_MULTIPLIER, totalWeight);
        for (WeightedPool weighted : pools) {
            position -= weighted.weight();
            if (position < 0) {
                return weighted.pool();
            }
        }
        return pools.getLast().pool();
    }

    /** Odd multiplier, so that ids that differ only in their last character are not mapped to adjacent positions. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    /** Whether requests are distributed to a pool. */
    public boolean uses(PoolId pool) {
        for (WeightedPool weighted : pools) {
            if (weighted.pool().equals(pool)) {
                return true;
            }
        }
        return false;
    }

    /** The pools to which requests are distributed, with their weights. */
    public List<WeightedPool> pools() {
        return pools;
    }

    /** A builder for {@link Route}. */
    public static final class Builder {
        private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);
        private static final Duration UNLIMITED = Duration.ofDays(1);

        private final RouteId id;
        private final RouteKind kind;
        private final List<WeightedPool> pools = new ArrayList<>();
        private final List<Step> steps = new ArrayList<>();
        private String host = "";
        private String pathPrefix = "/";
        private Duration timeout = DEFAULT_TIMEOUT;
        private Duration latencyTarget = DEFAULT_TIMEOUT;
        private Duration firstEventWithin = UNLIMITED;
        private int rank;
        private int attempts = 1;
        private boolean open;
        private boolean resumable;

        private Builder(RouteId id, RouteKind kind) {
            this.id = id;
            this.kind = kind;
        }

        /** Sets the host and the path prefix, which begins and ends with a slash. */
        public Builder hostAndPath(String newHost, String newPathPrefix) {
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

        /** Sets the timeout and the latency target. */
        public Builder timeouts(Duration newTimeout, Duration newLatencyTarget) {
            timeout = newTimeout;
            latencyTarget = newLatencyTarget;
            return this;
        }

        /** Sets how long a caller waits for the first event of a stream before it disconnects. */
        public Builder firstEventWithin(Duration newFirstEventWithin) {
            firstEventWithin = newFirstEventWithin;
            return this;
        }

        /** Sets the priority class; 0 is served first. */
        public Builder rank(int newRank) {
            rank = newRank;
            return this;
        }

        /** Sets the maximum number of servers to which one request may be sent. */
        public Builder attempts(int newAttempts) {
            attempts = newAttempts;
            return this;
        }

        /** Sets whether callers need no API key. */
        public Builder open(boolean newOpen) {
            open = newOpen;
            return this;
        }

        /** Sets whether interrupted streams may be resumed at another server. */
        public Builder resumable(boolean newResumable) {
            resumable = newResumable;
            return this;
        }

        /**
         * Creates the route.
         *
         * @throws IllegalArgumentException if it has no pool, or a path prefix that does not begin and end with a slash
         */
        public Route build() {
            if (pools.isEmpty()) {
                throw new IllegalArgumentException("route " + id + " has no pool; expected at least one");
            }
            if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
                throw new IllegalArgumentException("route " + id + " has the path prefix \"" + pathPrefix
                        + "\"; expected it to begin and end with \"/\"");
            }
            return new Route(this);
        }
    }
}
