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

/** What a holder may do at one upstream, and what it has in flight there. */
final class HeldUpstream {
    private static final Duration LATEST_WARM = Duration.ofSeconds(3);
    private static final Duration UNSERVED_REMEMBERED = Duration.ofSeconds(2);

    private static final Duration EVIDENCE_REMEMBERED = Duration.ofSeconds(30);

    private Vm vm;
    private Optional<NodeId> grantor = Optional.empty();
    private int allowed;
    private Instant expires = Instant.MIN;
    private boolean barred;
    private Instant barredAt = Instant.MIN;
    private boolean failed;
    private boolean cold = true;
    private Optional<LoadReport> report = Optional.empty();
    private Instant knownWarm = Instant.MIN;
    private Instant unservedSince = Instant.MIN;
    private Instant unservedNoted = Instant.MIN;
    private int inFlight;
    private int startedBeforeNews;
    private final List<Instant> lingering = new ArrayList<>();
    private final Set<NodeId> countedBy = new TreeSet<>();
    private long succeeded;
    private Instant evidenceAt = Instant.EPOCH;

    HeldUpstream(Vm vm) {
        this.vm = vm;
    }

    Vm vm() {
        return vm;
    }

    void vm(Vm newest) {
        this.vm = newest;
    }

    /**
     * The most that this node may have in flight under a grant. A grant of an owner that has since been replaced holds to
     * its end: the new owner waits that long.
     */
    int allowance(Instant now) {
        boolean valid = !barred && now.isBefore(expires);
        return valid ? allowed : 0;
    }

    Instant expires() {
        return expires;
    }

    /** How many may be running there on behalf of this node, those whose connection fell silent included. */
    int inUse(Instant now) {
        lingering.removeIf(until -> !now.isBefore(until));
        return inFlight + lingering.size();
    }

    void started() {
        inFlight++;
        if (grantor.isPresent()) {
            countedBy.add(grantor.get());
        }
    }

    /**
     * The owners that count what is in use here: all that granted since nothing was.
     *
     * <p>A node may learn of a new owner while the old one, which has not, still grants to others. Were the old one not
     * told what is in use any more, it would take it for none and grant the same places once more.
     */
    Set<NodeId> countedBy(Instant now) {
        if (inUse(now) == 0) {
            countedBy.clear();
        }
        return countedBy;
    }

    /**
     * Takes in the end of an attempt.
     *
     * <p>A request whose connection fell silent may go on running: the upstream has lost track of the connection, not of
     * the work. It would show as one more request at a cold upstream than was granted. So its place stays taken for as
     * long as an attempt may run. Word of a new start does not free it: the attempt may have begun after that start.
     */
    void finished(Finish finish, Instant now) {
        if (inFlight == 0) {
            return;
        }
        inFlight--;
        boolean ofThisStart = startedBeforeNews == 0;
        startedBeforeNews = Math.max(0, startedBeforeNews - 1);
        switch (finish) {
            case SUCCEEDED -> {
                succeeded += ofThisStart ? 1 : 0;
                evidenceAt = now;
            }
            case FAILED -> {
                lingering.add(now.plus(GrantOwner.LONGEST_ATTEMPT));
                bar(now);
            }
            case OVERLOADED -> bar(now);
            case CANCELLED -> {
                // Says nothing of the upstream.
            }
            default -> throw new IllegalStateException("unknown finish " + finish);
        }
    }

    private void bar(Instant now) {
        barred = true;
        barredAt = now;
        failed = true;
        turnCold();
    }

    private void turnCold() {
        cold = true;
        succeeded = 0;
        knownWarm = Instant.MIN;
    }

    /**
     * What to say of this upstream to an owner.
     *
     * <p>A new owner takes the successes of its holders as evidence that the upstream is warm. Old ones are none: it may
     * have turned cold since, with the same process, and only those that used it then have heard of it.
     */
    GrantDemand demand(int wanted, Instant now) {
        if (now.isAfter(evidenceAt.plus(EVIDENCE_REMEMBERED))) {
            succeeded = 0;
        }
        return new GrantDemand(vm.id(), wanted, inUse(now), succeeded, failed, report.map(LoadReport::startedAt));
    }

    /** Takes in an answer to an ask; gives whether it lets this node do less than before. */
    boolean apply(GrantOffer offer, NodeId owner, Instant sent, Instant now) {
        int before = allowed;
        takeReport(offer);
        if (!sent.isBefore(barredAt)) {
            barred = false;
            failed = false;
        }
        grantor = Optional.of(owner);
        allowed = offer.allowed();
        expires = sent.plus(offer.lifetime());
        if (offer.lifetime().isZero()) {
            if (!offer.cold() && !barred) {
                // An owner that may not grant, since the log is down, still knows what its upstream bears. A node that
                // starts meanwhile has no other way to learn it, and would serve nothing until the log is back.
                cold = false;
                knownWarm = sent;
            }
            unserved(sent, now);
            return allowed < before;
        }
        unservedNoted = Instant.MIN;
        evidenceAt = now;
        if (offer.cold() && !cold) {
            turnCold();
        }
        if (!offer.cold() && !barred) {
            cold = false;
            knownWarm = sent;
        }
        return allowed < before;
    }

    /** Takes in unasked word of less. It carries no order in time, so it never gives more. */
    void withdraw(GrantOffer offer) {
        takeReport(offer);
        allowed = Math.min(allowed, offer.allowed());
        if (offer.cold() && !cold) {
            turnCold();
        }
    }

    /** Gives up what an owner granted; gives whether that was something. */
    boolean drop(NodeId owner) {
        if (!grantor.equals(Optional.of(owner)) || allowed == 0) {
            return false;
        }
        allowed = 0;
        return true;
    }

    /** Whether an owner may count on something being held here. */
    boolean holds(NodeId owner) {
        return grantor.equals(Optional.of(owner)) && allowed > 0;
    }

    private void takeReport(GrantOffer offer) {
        if (offer.report().isEmpty()) {
            return;
        }
        LoadReport newest = offer.report().get();
        if (report.isPresent() && !report.get().startedAt().equals(newest.startedAt())) {
            turnCold();
            startedBeforeNews = inFlight;
        }
        report = offer.report();
    }

    /** Notes that no owner answers for this upstream, and since when. */
    void unserved(Instant since, Instant now) {
        if (!unservedLately(now)) {
            unservedSince = since;
        }
        unservedNoted = now;
    }

    private boolean unservedLately(Instant now) {
        return !unservedNoted.equals(Instant.MIN) && now.isBefore(unservedNoted.plus(UNSERVED_REMEMBERED));
    }

    /**
     * Whether this node may fall back on a fixed share: nobody grants, and the last that was known, not long before that
     * began, is that the upstream was warm.
     */
    boolean fallsBack(Instant now) {
        if (cold || !unservedLately(now)) {
            return false;
        }
        return !unservedSince.isAfter(knownWarm.plus(LATEST_WARM));
    }

    boolean cold() {
        return cold;
    }

    Optional<LoadReport> report() {
        return report;
    }
}
