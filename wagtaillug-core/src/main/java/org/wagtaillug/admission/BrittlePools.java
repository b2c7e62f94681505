package org.wagtaillug.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.wagtaillug.clock.WallClock;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.peer.Roster;

/**
 * Keeps this node within its share of the slots of brittle upstreams, which fail if they have to reject too many requests
 * for lack of room.
 *
 * <p>The shares follow from the roster and add up to the slots and a part of the rejections that the upstream can bear: a
 * node that is rejected pauses, so only as many as the excess are rejected at once. Nodes without a share take turns, at
 * a rate that may also be rejected as a whole.
 */
public final class BrittlePools {
    /** How long a node sends nothing to a brittle upstream that has rejected a request. */
    public static final Duration REJECTION_PAUSE = Duration.ofMillis(1500);

    /** Part of the tolerated rejections by which the shares exceed the slots. */
    private static final double EXCESS_RATIO = 0.4;

    /** Part of the tolerated rejections that the nodes without a share may cause. */
    private static final double TURN_RATIO = 0.4;

    /** A lower rate of turns would keep nodes from learning that the pool has ceased to be brittle. */
    private static final double MIN_TURNS_PER_SECOND = 0.2;

    private final Roster roster;
    private final WallClock wallClock;
    private final Map<PoolId, Announcement> brittle = new HashMap<>();

    private record Announcement(double maxRejections, Instant at) {}

    /** Creates an instance that knows of no brittle pool. */
    public BrittlePools(Roster roster, WallClock wallClock) {
        this.roster = roster;
        this.wallClock = wallClock;
    }

    /**
     * Processes an answer of an upstream.
     *
     * @param maxRejections the rejections per second that the answer names; empty if it names none
     * @param successful whether the answer is a success; a failure does not end the announcement
     * @param sentAt when the request was sent
     * @return whether the pool has become brittle, or has ceased to be
     */
    public boolean onAnswer(
            PoolId pool, OptionalDouble maxRejections, boolean successful, Instant sentAt, Instant now) {
        if (maxRejections.isPresent()) {
            return brittle.put(pool, new Announcement(maxRejections.getAsDouble(), now)) == null;
        }
        Announcement known = brittle.get(pool);
        boolean ended = known != null && successful && sentAt.isAfter(known.at());
        if (ended) {
            brittle.remove(pool);
        }
        return ended;
    }

    /** Whether the upstreams of a pool are brittle. */
    public boolean brittle(PoolId pool) {
        return brittle.containsKey(pool);
    }

    /** Whether one more request may go to an upstream where this node has so many in flight. */
    public boolean allows(Upstream upstream, int inFlight, Instant now) {
        Announcement known = brittle.get(upstream.pool());
        if (known == null) {
            return true;
        }
        int nodes = Math.max(1, roster.size());
        int excess = (int) (known.maxRejections() * EXCESS_RATIO);
        int requests = Math.max(1, upstream.listing().slots()) + excess;
        int remainder = roster.selectsSelf(upstream.id(), requests % nodes, now) ? 1 : 0;
        int share = requests / nodes + remainder;
        return inFlight < share || (share == 0 && inFlight == 0 && hasTurn(upstream, known, nodes, now));
    }

    private boolean hasTurn(Upstream upstream, Announcement known, int nodes, Instant now) {
        double perSecond = Math.max(MIN_TURNS_PER_SECOND, known.maxRejections() * TURN_RATIO);
        long turns = (long) Math.ceil(nodes / perSecond);
        long second = TimeUnit.MILLISECONDS.toSeconds(wallClock.wallTime(now).epochMillis());
        return Math.floorMod(second, turns) == Math.floorMod(roster.rank(upstream.id()), turns);
    }
}
