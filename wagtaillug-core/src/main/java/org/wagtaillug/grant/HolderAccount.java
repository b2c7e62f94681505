package org.wagtaillug.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.membership.Timing;
import org.wagtaillug.message.PeerMessage.GrantDemand;

/**
 * What one holder may have in flight at one upstream, as its owner can be sure of it.
 *
 * <p>A holder starts nothing above the allowance that it acts on. So what it has in flight after the sending of an ask is
 * at most the greatest of what that ask reported and of every allowance that it acts on from then on: the one that the
 * ask acknowledged, and all later ones. Older ones are dropped on that acknowledgement alone, never because an ask
 * reports little in use: that ask may have been under way while the holder went on starting.
 */
final class HolderAccount {
    private final List<Issued> issued = new ArrayList<>();
    private int inUse;
    private Instant inUseUntil = Instant.MIN;
    private int wanted;
    private Instant lastAsk = Instant.MIN;
    private long lastSucceeded;
    private Optional<Instant> countedStart = Optional.empty();
    private boolean discountNext;
    private boolean withdrawn;
    private Instant waitingSince = Instant.MAX;
    private Instant turnEnds = Instant.MIN;

    /**
     * An allowance that was sent.
     *
     * @param sequence of the ask that it answered
     * @param allowed how many
     * @param expires the end of its lifetime by the owner's clock, later than by the holder's
     */
    private record Issued(long sequence, int allowed, Instant expires) {
        /** When the last request that was started under it has ended even if nothing is ever heard of it. */
        Instant settled() {
            return expires.plus(GrantOwner.LONGEST_ATTEMPT);
        }
    }

    /** Takes in an ask: drops what it acknowledges as replaced and notes what it reports. */
    void onAsk(long applied, Optional<GrantDemand> demand, Instant now) {
        issued.removeIf(each -> each.sequence() < applied);
        inUse = Math.max(0, demand.map(GrantDemand::inUse).orElse(0));
        inUseUntil = now.plus(GrantOwner.LONGEST_ATTEMPT);
        wanted = Math.max(0, demand.map(GrantDemand::wanted).orElse(0));
        lastAsk = now;
        if (wanted == 0) {
            waitingSince = Instant.MAX;
        } else if (waitingSince.equals(Instant.MAX)) {
            waitingSince = now;
        }
    }

    /**
     * How many successes a demand adds to what was counted before.
     *
     * @param startedAt the start of the upstream that successes count for
     * @param history whether successes from before the first ask count
     */
    long newSuccesses(GrantDemand demand, Instant startedAt, boolean history) {
        if (!demand.startedAt().equals(Optional.of(startedAt))) {
            return 0;
        }
        boolean sameStart = countedStart.equals(demand.startedAt());
        boolean continued = sameStart && demand.succeeded() >= lastSucceeded;
        boolean unknownBefore = countedStart.isEmpty() && !history;
        long before = continued ? lastSucceeded : 0;
        countedStart = demand.startedAt();
        lastSucceeded = demand.succeeded();
        if (unknownBefore || discountNext && sameStart) {
            discountNext = false;
            return 0;
        }
        discountNext = false;
        return demand.succeeded() - before;
    }

    /** What the holder has counted until now, reported or not, is no evidence. */
    void discountHistory() {
        discountNext = true;
    }

    /** All that the holder has counted until now is known, so what it adds is new. */
    void countOn() {
        discountNext = false;
    }

    /** Notes an allowance that is being sent. */
    void issue(long sequence, int allowed, Duration lifetime, Instant now) {
        if (allowed > 0) {
            withdrawn = false;
            issued.add(new Issued(sequence, allowed, now.plus(lifetime).plus(Timing.DRIFT)));
        }
    }

    /** Drops what can have no effect any more. */
    void expire(Instant now) {
        issued.removeIf(each -> !now.isBefore(each.settled()));
    }

    /** The most that the holder may have in flight. */
    int reserve(Instant now) {
        int most = now.isBefore(inUseUntil) ? inUse : 0;
        for (Issued each : issued) {
            if (now.isBefore(each.settled())) {
                most = Math.max(most, each.allowed());
            }
        }
        return most;
    }

    /** Whether the holder may still start something and has to be told to stop; at most once for each allowance. */
    boolean withdraw(Instant now) {
        if (withdrawn) {
            return false;
        }
        for (Issued each : issued) {
            if (now.isBefore(each.expires())) {
                withdrawn = true;
                return true;
            }
        }
        return false;
    }

    /** Whether the holder wants something and has been heard lately. */
    boolean active(Instant now) {
        return wanted > 0 && now.isBefore(lastAsk.plus(GrantOwner.ACTIVE));
    }

    int wanted() {
        return wanted;
    }

    /** Since when the holder waits for a turn; {@link Instant#MAX} if it wants none. */
    Instant waitingSince() {
        return waitingSince;
    }

    /** When the turn that the holder has or had last ends. */
    Instant turnEnds() {
        return turnEnds;
    }

    /** Begins a turn; whoever begins to wait before its end comes before this holder's next one. */
    void beginTurn(Instant now) {
        turnEnds = now.plus(GrantOwner.COLD_GRANT);
        waitingSince = turnEnds;
    }
}
