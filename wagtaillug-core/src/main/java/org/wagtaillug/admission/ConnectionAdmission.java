package org.wagtaillug.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides which new connections of callers a node accepts while it gets many more than usual.
 *
 * <p>A load balancer may send most new connections of a failure domain to one node. A node that reads them all answers none in
 * time. A connection that is closed before its request is read costs little, and its caller comes back at another node. At most
 * a multiple of the usual rate is accepted. Below that, the rate follows the node's delay: it falls by a factor while the delay is
 * long, but hardly below the usual rate, and rises slowly after that. Connections that are open are not affected.
 *
 * <pre>{@code
 * if (!admission.admit(openConnections, delay, now)) {
 *     channel.close();
 * }
 * }</pre>
 */
public final class ConnectionAdmission {
    /** Limit on open connections; a node has descriptors for twice as many. */
    public static final int MAX_OPEN_CONNECTIONS = 1_500;

    /** The delay above which a node accepts fewer connections. */
    static final Duration MAX_DELAY = Duration.ofMillis(250);

    private static final Duration ADJUSTMENT_INTERVAL = Duration.ofMillis(250);

    /** The usual rate is an average over about this time, without the times in which connections are closed. */
    private static final Duration USUAL_RATE_TIME = Duration.ofSeconds(30);

    /** The usual rate is not known before this time after the first connection. */
    private static final Duration WARM_UP_TIME = Duration.ofSeconds(5);

    /** Connections are accepted without a limit again if there are few and the delay has been short for this long. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(3);

    private static final double MIN_USUAL_RATE = 2;
    private static final double MIN_RATE_FACTOR = 1.5;
    private static final double MAX_RATE_FACTOR = 5;
    private static final double MIN_MAX_RATE = 20;
    private static final double DECREASE_FACTOR = 0.6;
    private static final double INCREASE_FACTOR = 1.05;
    /** How many connections may come at once, as the time in which the rate allows them. */
    private static final double BURST_SECONDS = 0.5;

    private static final double DELAYED_BURST_SECONDS = 0.2;

    private Instant firstAt = Instant.MIN;
    private Instant adjustedAt = Instant.MIN;
    private Instant delayedAt = Instant.MIN;
    private double weightedConnections;
    private double weightedSeconds;
    private double usualRate;
    private double limit = Double.POSITIVE_INFINITY;
    private double tokens;
    private Instant refilledAt = Instant.MIN;
    private int arrivals;
    private int admitted;
    private long closed;

    /**
     * Whether a new connection is accepted.
     *
     * @param open the number of open connections
     * @param delay how long events wait for the node at present
     */
    public boolean admit(int open, Duration delay, Instant now) {
        if (firstAt.equals(Instant.MIN)) {
            firstAt = now;
            adjustedAt = now;
            refilledAt = now;
        }
        adjust(delay, now);
        refill(now);
        arrivals++;
        boolean admit = open < MAX_OPEN_CONNECTIONS && takeToken();
        admitted += admit ? 1 : 0;
        closed += admit ? 0 : 1;
        return admit;
    }

    private boolean takeToken() {
        if (Double.isInfinite(rate())) {
            return true;
        }
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** The rate at which connections are accepted. */
    private double rate() {
        return usualRate == 0 ? Double.POSITIVE_INFINITY : Math.min(limit, most());
    }

    private double most() {
        return Math.max(MIN_MAX_RATE, MAX_RATE_FACTOR * usualRate);
    }

    private void refill(Instant now) {
        double rate = rate();
        if (!Double.isInfinite(rate)) {
            double added = rate * seconds(Duration.between(refilledAt, now));
            double burst = rate * (limited() ? DELAYED_BURST_SECONDS : BURST_SECONDS);
            tokens = Math.min(tokens + added, Math.max(1, burst));
        }
        refilledAt = now;
    }

    private void adjust(Duration delay, Instant now) {
        Duration elapsed = Duration.between(adjustedAt, now);
        if (elapsed.compareTo(ADJUSTMENT_INTERVAL) < 0) {
            return;
        }
        adjustedAt = now;
        double seconds = seconds(elapsed);
        double arrivalRate = arrivals / seconds;
        double admittedRate = admitted / seconds;
        arrivals = 0;
        admitted = 0;
        if (delay.compareTo(MAX_DELAY) > 0) {
            delayedAt = now;
            decrease(admittedRate);
            return;
        }
        if (limited()) {
            increase(arrivalRate, now);
            return;
        }
        measureUsualRate(Math.min(arrivalRate, rate()) * seconds, seconds, now);
    }

    private void measureUsualRate(double connections, double seconds, Instant now) {
        double kept = Math.max(0, 1 - seconds / seconds(USUAL_RATE_TIME));
        weightedConnections = weightedConnections * kept + connections;
        weightedSeconds = weightedSeconds * kept + seconds;
        if (!now.isBefore(firstAt.plus(WARM_UP_TIME))) {
            usualRate = Math.max(MIN_USUAL_RATE, weightedConnections / weightedSeconds);
        }
    }

    private void decrease(double admittedRate) {
        if (usualRate > 0) {
            limit = Math.max(MIN_RATE_FACTOR * usualRate, DECREASE_FACTOR * Math.min(limit, admittedRate));
        }
    }

    private void increase(double arrivalRate, Instant now) {
        boolean recovered = arrivalRate < limit && !now.isBefore(delayedAt.plus(RECOVERY_TIME));
        limit = recovered ? Double.POSITIVE_INFINITY : limit * INCREASE_FACTOR;
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }

    /** Whether fewer connections are accepted than usual ones allow, because of the node's delay. */
    public boolean limited() {
        return !Double.isInfinite(limit);
    }

    /** The number of connections that were not accepted. */
    public long closed() {
        return closed;
    }
}
