package org.wagtaillug.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage.GrantDemand;
import org.wagtaillug.message.PeerMessage.GrantOffer;

/** The allowance that a holder has for one upstream, and the attempts that it has in flight there. */
final class UpstreamGrant {
    private static final Duration MAX_WARM_AGE = Duration.ofSeconds(3);
    /** An upstream notices a cancelled request within this time, also if a packet is lost. */
    static final Duration CANCELLATION_TIME = Duration.ofSeconds(1);

    private static final Duration UNGRANTED_RETENTION = Duration.ofSeconds(2);
    private static final Duration EVIDENCE_RETENTION = Duration.ofSeconds(30);

    private Vm vm;
    private Optional<NodeId> grantor = Optional.empty();
    private int allowed;
    private Instant expires = Instant.MIN;
    private boolean suspended;
    private Instant suspendedAt = Instant.MIN;
    private boolean failed;
    private boolean cold = true;
    private Optional<LoadReport> report = Optional.empty();
    private Instant lastKnownWarm = Instant.MIN;
    private Instant ungrantedSince = Instant.MIN;
    private Instant ungrantedNotedAt = Instant.MIN;
    private int inFlight;
    private int startedBeforeRestart;
    private final List<Instant> orphanedUntil = new ArrayList<>();
    private final Set<NodeId> accountingOwners = new TreeSet<>();
    private long succeeded;
    private Instant evidenceAt = Instant.EPOCH;

    UpstreamGrant(Vm vm) {
        this.vm = vm;
    }

    Vm vm() {
        return vm;
    }

    void vm(Vm newest) {
        this.vm = newest;
    }

    /**
     * The maximum number of requests that this node may have in flight under a grant. A grant of an owner that has
     * since been replaced stays valid until it expires: the new owner waits that long.
     */
    int allowance(Instant now) {
        boolean valid = !suspended && now.isBefore(expires);
        return valid ? allowed : 0;
    }

    Instant expires() {
        return expires;
    }

    /**
     * The number of requests that may be running there on behalf of this node, including those whose connection went
     * silent and those that were just abandoned.
     */
    int inUse(Instant now) {
        orphanedUntil.removeIf(until -> !now.isBefore(until));
        return inFlight + orphanedUntil.size();
    }

    void started() {
        inFlight++;
        if (grantor.isPresent()) {
            accountingOwners.add(grantor.get());
        }
    }

    /**
     * The owners that account for the requests in flight here: all that have granted an allowance since the number in
     * flight was last 0.
     *
     * <p>A node may learn of a new owner while the old one does not know of it yet and still grants to others. If the
     * old owner were no longer told how many requests are in flight, it would assume none and grant the same slots
     * again.
     */
    Set<NodeId> accountingOwners(Instant now) {
        if (inUse(now) == 0) {
            accountingOwners.clear();
        }
        return accountingOwners;
    }

    /**
     * Records the end of an attempt.
     *
     * <p>A request whose connection went silent may continue to run: the upstream has lost the connection, not the
     * work. The request would be one more at a cold upstream than was granted, so its slot stays taken for as long as
     * an attempt may run. The slot of an abandoned request stays taken until the upstream has noticed, if it is cold; a
     * warm one can take one request more for that time. News of a restart does not free a slot, since the attempt may
     * have begun after that restart.
     */
    void onFinished(UpstreamOutcome outcome, Instant now) {
        if (inFlight == 0) {
            return;
        }
        inFlight--;
        boolean ofCurrentProcess = startedBeforeRestart == 0;
        startedBeforeRestart = Math.max(0, startedBeforeRestart - 1);
        switch (outcome) {
            case SUCCEEDED -> {
                succeeded += ofCurrentProcess ? 1 : 0;
                evidenceAt = now;
            }
            case FAILED -> {
                orphanedUntil.add(now.plus(GrantOwner.MAX_ATTEMPT_DURATION));
                suspend(now);
            }
            case OVERLOADED -> suspend(now);
            case ABANDONED -> {
                if (cold) {
                    orphanedUntil.add(now.plus(CANCELLATION_TIME));
                }
            }
            case CANCELLED -> {
                // No evidence about the upstream.
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    private void suspend(Instant now) {
        suspended = true;
        suspendedAt = now;
        failed = true;
        markCold();
    }

    private void markCold() {
        cold = true;
        succeeded = 0;
        lastKnownWarm = Instant.MIN;
    }

    /**
     * The demand to report to an owner.
     *
     * <p>A new owner takes the successes of its holders as evidence that the upstream is warm. Old successes are no
     * evidence: the same process may have turned cold since, and only the nodes that used it at that time know of it.
     */
    GrantDemand demand(int wanted, Instant now) {
        if (now.isAfter(evidenceAt.plus(EVIDENCE_RETENTION))) {
            succeeded = 0;
        }
        return new GrantDemand(vm.id(), wanted, inUse(now), succeeded, failed, report.map(LoadReport::startedAt));
    }

    /** Applies the offer in a reply to a grant request. Returns whether it lowers the allowance of this node. */
    boolean apply(GrantOffer offer, NodeId owner, Instant sent, Instant now) {
        int before = allowed;
        updateReport(offer);
        if (!sent.isBefore(suspendedAt)) {
            suspended = false;
            failed = false;
        }
        grantor = Optional.of(owner);
        allowed = offer.allowed();
        expires = sent.plus(offer.lifetime());
        if (offer.lifetime().isZero()) {
            if (!offer.cold() && !suspended) {
                // An owner that may not grant because the log is unavailable still knows whether its upstream is warm.
                // A node that starts meanwhile has no other way to learn it, and would serve nothing until the log is
                // available again.
                cold = false;
                lastKnownWarm = sent;
            }
            markUngranted(sent, now);
            return allowed < before;
        }
        ungrantedNotedAt = Instant.MIN;
        evidenceAt = now;
        if (offer.cold() && !cold) {
            markCold();
        }
        if (!offer.cold() && !suspended) {
            cold = false;
            lastKnownWarm = sent;
        }
        return allowed < before;
    }

    /**
     * Applies an unsolicited withdrawal. It has no place in the sequence of replies, so it never raises the allowance.
     */
    void withdraw(GrantOffer offer) {
        updateReport(offer);
        allowed = Math.min(allowed, offer.allowed());
        if (offer.cold() && !cold) {
            markCold();
        }
    }

    /** Releases the allowance granted by an owner. Returns whether there was one. */
    boolean release(NodeId owner) {
        if (!grantor.equals(Optional.of(owner)) || allowed == 0) {
            return false;
        }
        allowed = 0;
        return true;
    }

    /** Whether the current allowance was granted by an owner and is not 0. */
    boolean isGrantedBy(NodeId owner) {
        return grantor.equals(Optional.of(owner)) && allowed > 0;
    }

    private void updateReport(GrantOffer offer) {
        if (offer.report().isEmpty()) {
            return;
        }
        LoadReport newest = offer.report().get();
        if (report.isPresent() && !report.get().startedAt().equals(newest.startedAt())) {
            markCold();
            startedBeforeRestart = inFlight;
        }
        report = offer.report();
    }

    /** Records that no owner grants allowances for this upstream, and since when. */
    void markUngranted(Instant since, Instant now) {
        if (!isUngranted(now)) {
            ungrantedSince = since;
        }
        ungrantedNotedAt = now;
    }

    private boolean isUngranted(Instant now) {
        return !ungrantedNotedAt.equals(Instant.MIN) && now.isBefore(ungrantedNotedAt.plus(UNGRANTED_RETENTION));
    }

    /**
     * Whether this node may fall back to a fixed share: no owner grants, and the last known state, at most {@link
     * #MAX_WARM_AGE} before that began, is warm.
     */
    boolean mayUseFixedShare(Instant now) {
        if (cold || !isUngranted(now)) {
            return false;
        }
        return !ungrantedSince.isAfter(lastKnownWarm.plus(MAX_WARM_AGE));
    }

    boolean cold() {
        return cold;
    }

    Optional<LoadReport> report() {
        return report;
    }
}
