package org.wagtaillug.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.membership.Timing;
import org.wagtaillug.message.PeerMessage.GrantDemand;

/**
 * The owner's upper bound on the requests that one holder may have in flight at one upstream.
 *
 * <p>A holder starts nothing above the allowance that it acts on. So what it has in flight after sending a grant
 * request is at most the maximum of the number that this request reported and of every allowance that the holder acts
 * on from then on: the one that the request acknowledged, and all later ones. Older allowances are dropped only on that
 * acknowledgement, never because a request reports little in use: that request may have been in transit while the
 * holder started more attempts.
 */
final class HolderAccount {
    private final List<IssuedAllowance> issued = new ArrayList<>();
    private int inUse;
    private Instant inUseUntil = Instant.MIN;
    private int wanted;
    private Instant lastRequest = Instant.MIN;
    private long lastSucceeded;
    private Optional<Instant> countedStart = Optional.empty();
    private boolean discountNext;
    private boolean withdrawn;
    private Instant waitingSince = Instant.MAX;
    private Instant turnEnds = Instant.MIN;

    /**
     * An allowance that was sent to the holder.
     *
     * @param sequence the sequence number of the grant request that it answered
     * @param allowed the number of requests allowed
     * @param expires the end of its lifetime by the clock of the owner, later than by that of the holder
     */
    private record IssuedAllowance(long sequence, int allowed, Instant expires) {
        /** When the last request started under this allowance has ended, even if nothing is ever heard of it. */
        Instant attemptsEndedAt() {
            return expires.plus(GrantOwner.MAX_ATTEMPT_DURATION);
        }
    }

    /** Applies a grant request: drops the allowances that it acknowledges as replaced, and records what it reports. */
    void onGrantRequest(long applied, Optional<GrantDemand> demand, Instant now) {
        issued.removeIf(each -> each.sequence() < applied);
        inUse = Math.max(0, demand.map(GrantDemand::inUse).orElse(0));
        inUseUntil = now.plus(GrantOwner.MAX_ATTEMPT_DURATION);
        wanted = Math.max(0, demand.map(GrantDemand::wanted).orElse(0));
        lastRequest = now;
        if (wanted == 0) {
            waitingSince = Instant.MAX;
        } else if (waitingSince.equals(Instant.MAX)) {
            waitingSince = now;
        }
    }

    /**
     * The number of successes that a demand adds to those counted before.
     *
     * @param startedAt the start of the upstream process for which successes count
     * @param countHistory whether successes from before the first grant request count
     */
    long newSuccesses(GrantDemand demand, Instant startedAt, boolean countHistory) {
        if (!demand.startedAt().equals(Optional.of(startedAt))) {
            return 0;
        }
        boolean sameStart = countedStart.equals(demand.startedAt());
        boolean continued = sameStart && demand.succeeded() >= lastSucceeded;
        boolean ignoreHistory = countedStart.isEmpty() && !countHistory;
        long counted = continued ? lastSucceeded : 0;
        countedStart = demand.startedAt();
        lastSucceeded = demand.succeeded();
        if (ignoreHistory || discountNext && sameStart) {
            discountNext = false;
            return 0;
        }
        discountNext = false;
        return demand.succeeded() - counted;
    }

    /** Excludes what the holder has counted so far, reported or not, from the evidence. */
    void discountHistory() {
        discountNext = true;
    }

    /** Counts further successes again: everything that the holder has counted so far has been reported. */
    void resumeCounting() {
        discountNext = false;
    }

    /** Records an allowance that is being sent. */
    void issue(long sequence, int allowed, Duration lifetime, Instant now) {
        if (allowed > 0) {
            withdrawn = false;
            issued.add(new IssuedAllowance(sequence, allowed, now.plus(lifetime).plus(Timing.CLOCK_DRIFT)));
        }
    }

    /** Drops allowances that can no longer have any effect. */
    void expire(Instant now) {
        issued.removeIf(each -> !now.isBefore(each.attemptsEndedAt()));
    }

    /** The maximum number of requests that the holder may have in flight. */
    int reserve(Instant now) {
        int maximum = now.isBefore(inUseUntil) ? inUse : 0;
        for (IssuedAllowance each : issued) {
            if (now.isBefore(each.attemptsEndedAt())) {
                maximum = Math.max(maximum, each.allowed());
            }
        }
        return maximum;
    }

    /**
     * Whether the holder may still start something and has to be told to stop; true at most once for each allowance.
     */
    boolean withdraw(Instant now) {
        if (withdrawn) {
            return false;
        }
        for (IssuedAllowance each : issued) {
            if (now.isBefore(each.expires())) {
                withdrawn = true;
                return true;
            }
        }
        return false;
    }

    /** Whether the holder has demand and has been heard from recently. */
    boolean active(Instant now) {
        return wanted > 0 && now.isBefore(lastRequest.plus(GrantOwner.DEMAND_LIFETIME));
    }

    int wanted() {
        return wanted;
    }

    /** Since when the holder has been waiting for a turn; {@link Instant#MAX} if it has no demand. */
    Instant waitingSince() {
        return waitingSince;
    }

    /** When the current or last turn of the holder ends. */
    Instant turnEnds() {
        return turnEnds;
    }

    /** Begins a turn. Any holder that begins to wait before the turn ends comes before the next turn of this holder. */
    void beginTurn(Instant now) {
        turnEnds = now.plus(GrantOwner.COLD_TURN);
        waitingSince = turnEnds;
    }
}
