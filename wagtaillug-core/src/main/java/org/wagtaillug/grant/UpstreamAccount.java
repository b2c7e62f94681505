package org.wagtaillug.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.membership.Timing;
import org.wagtaillug.message.PeerMessage.GrantDemand;
import org.wagtaillug.message.PeerMessage.GrantOffer;

/** All that an owner knows of one upstream: its limit, and what every holder may have in flight there. */
final class UpstreamAccount {
    private static final int MISSING_REPORTS = 3;
    private static final Duration REPORT_FRESH = Duration.ofMillis(1500);
    private static final Duration LONGEST_REPORT_LAG = Duration.ofSeconds(3);

    private final PoolId pool;
    private final Map<NodeId, HolderAccount> holders = new TreeMap<>();
    private Optional<LoadReport> report = Optional.empty();
    private int missing;
    private long fencingNumber;
    private boolean gained;
    private Instant unknownUntil = Instant.MAX;
    private Optional<Instant> firstReportSinceGain = Optional.empty();
    private long successes;
    private boolean historyCounts = true;
    private Instant lastLoadAsk = Instant.MIN;
    private Instant freshAt = Instant.MIN;

    UpstreamAccount(PoolId pool) {
        this.pool = pool;
    }

    PoolId pool() {
        return pool;
    }

    /** Whether it is time to ask for a load report; notes that one is asked for if so. */
    boolean askLoad(Instant now) {
        if (now.isBefore(lastLoadAsk.plus(GrantOwner.LOAD_PERIOD))) {
            return false;
        }
        lastLoadAsk = now;
        return true;
    }

    /**
     * Notes that this node may grant under a fencing number.
     *
     * <p>A new owner's failure: the allowances of the owner before it have lapsed, yet requests started under them may
     * still run, at holders that are dead or cannot be heard, and a cold upstream would get them on top of the new
     * owner's grants. So while cold nothing is granted until the longest attempt has ended, or until the upstream itself
     * reports that nothing runs.
     */
    void mayGrant(long number, Instant now) {
        if (gained && fencingNumber == number) {
            return;
        }
        gained = true;
        fencingNumber = number;
        unknownUntil = now.plus(GrantOwner.LONGEST_ATTEMPT);
        firstReportSinceGain = Optional.empty();
    }

    /** Takes in a load report; gives whether allowances have to be withdrawn because the upstream has started anew. */
    boolean onReport(LoadReport newest, PoolContract contract, Instant now) {
        missing = 0;
        boolean restarted = report.isPresent() && !report.get().startedAt().equals(newest.startedAt());
        if (!restarted
                && report.isPresent()
                && newest.reportedAt().isBefore(report.get().reportedAt())) {
            return false;
        }
        report = Optional.of(newest);
        freshAt = lastLoadAsk;
        noteIdle(newest, restarted, now);
        if (!restarted) {
            return false;
        }
        // A new process: whatever holders count since its start is evidence.
        successes = 0;
        historyCounts = true;
        return moreThanCold(contract, now);
    }

    /** Whether holders may have more in flight than the upstream bears while it is cold. */
    private boolean moreThanCold(PoolContract contract, Instant now) {
        int reserved = 0;
        for (HolderAccount each : holders.values()) {
            reserved += each.reserve(now);
        }
        return reserved > contract.coldLimit();
    }

    /** A report of no work ends the wait of a new owner once it describes a moment after that owner's beginning. */
    private void noteIdle(LoadReport newest, boolean restarted, Instant now) {
        if (!gained) {
            return;
        }
        if (firstReportSinceGain.isEmpty() || restarted) {
            firstReportSinceGain = Optional.of(newest.reportedAt());
            return;
        }
        Instant vouching = firstReportSinceGain.get().plus(LONGEST_REPORT_LAG);
        boolean idle = newest.running() + newest.waiting() == 0;
        if (idle && !newest.reportedAt().isBefore(vouching) && now.isBefore(unknownUntil)) {
            unknownUntil = now;
        }
    }

    /** Takes in that a report did not come; gives whether allowances have to be withdrawn. */
    boolean onMissing(PoolContract contract, Instant now) {
        missing++;
        if (missing < MISSING_REPORTS) {
            return false;
        }
        turnCold();
        return moreThanCold(contract, now);
    }

    /**
     * The same process, or so it seems, has turned cold, or is out of service and comes back with the cold limit, so that
     * not all return to it at once: what holders have counted so far is no evidence any more.
     */
    void turnCold() {
        successes = 0;
        historyCounts = false;
        for (HolderAccount each : holders.values()) {
            each.discountHistory();
        }
    }

    /**
     * Takes in what a holder says of this upstream, or that it has nothing to say of it.
     *
     * @return whether allowances have to be withdrawn because it failed
     */
    boolean onAsk(NodeId holder, long applied, Optional<GrantDemand> demand, PoolContract contract, Instant now) {
        if (demand.isEmpty() && !holders.containsKey(holder)) {
            return false;
        }
        HolderAccount account = holders.computeIfAbsent(holder, id -> new HolderAccount());
        account.onAsk(applied, demand, now);
        if (demand.isEmpty()) {
            return false;
        }
        if (report.isPresent()) {
            successes += account.newSuccesses(demand.get(), report.get().startedAt(), historyCounts);
        }
        if (!demand.get().failed()) {
            return false;
        }
        turnCold();
        account.countOn();
        return moreThanCold(contract, now);
    }

    /**
     * Whether the upstream has yet to show that it bears more than its cold limit.
     *
     * <p>An owner that pauses misses a restart, and on waking finds asks with enough successes from before it. So what it
     * knows counts for a short time only, from the sending of the question that the last report answered: the answer
     * itself may have waited for the owner to wake.
     */
    boolean cold(PoolContract contract, Instant now) {
        boolean stale = now.isAfter(freshAt.plus(REPORT_FRESH));
        return successes < contract.warmAfter() || stale || missing >= MISSING_REPORTS;
    }

    /** The most that may be in flight: doubles after the warming, and again after as many successes as it then is. */
    int limit(PoolContract contract, Instant now) {
        int limit = contract.coldLimit();
        if (cold(contract, now)) {
            return limit;
        }
        int most = Math.max(contract.coldLimit(), contract.warmLimit());
        long needed = contract.warmAfter();
        while (limit < most && successes >= needed) {
            limit = Math.min(most, 2 * limit);
            needed += limit;
        }
        return limit;
    }

    /** Answers a holder's ask for this upstream. The sum of reserves rises to the limit at most. */
    GrantOffer offer(GrantDemand demand, NodeId holder, long sequence, PoolContract contract, Instant now) {
        HolderAccount account = holders.get(holder);
        int limit = limit(contract, now);
        int free = Math.max(0, limit - reservedByOthers(holder, contract, now));
        List<HolderAccount> active = active(now);
        boolean turns = cold(contract, now) || limit < active.size();
        int allowed = turns ? turn(account, active, free, now) : bundle(account, active, limit, free);
        Duration lifetime = Timing.LONGEST_GRANT;
        if (turns && allowed > 0) {
            lifetime = Duration.between(now, account.turnEnds());
        }
        account.issue(sequence, allowed, lifetime, now);
        return new GrantOffer(demand.upstream(), allowed, lifetime, cold(contract, now), report);
    }

    /** An offer of nothing. */
    GrantOffer nothing(GrantDemand demand, Duration lifetime, PoolContract contract, Instant now) {
        return new GrantOffer(demand.upstream(), 0, lifetime, cold(contract, now), report);
    }

    private int reservedByOthers(NodeId holder, PoolContract contract, Instant now) {
        int reserved = 0;
        if (cold(contract, now) && now.isBefore(unknownUntil)) {
            reserved = contract.coldLimit();
        }
        for (Map.Entry<NodeId, HolderAccount> each : holders.entrySet()) {
            if (each.getKey().equals(holder)) {
                continue;
            }
            reserved += each.getValue().reserve(now);
        }
        return reserved;
    }

    private List<HolderAccount> active(Instant now) {
        List<HolderAccount> active = new ArrayList<>();
        for (HolderAccount each : holders.values()) {
            if (each.active(now)) {
                active.add(each);
            }
        }
        return active;
    }

    /** A share of a warm upstream. */
    private int bundle(HolderAccount account, List<HolderAccount> active, int limit, int free) {
        int[] wanted = new int[active.size()];
        for (int i = 0; i < wanted.length; i++) {
            wanted[i] = active.get(i).wanted();
        }
        int index = active.indexOf(account);
        if (index < 0) {
            return 0;
        }
        return Math.min(free, FairShare.split(limit, wanted)[index]);
    }

    /** A short turn at an upstream that bears fewer than want it; who has waited longest comes first. */
    private int turn(HolderAccount account, List<HolderAccount> active, int free, Instant now) {
        if (account.wanted() == 0 || free == 0) {
            return 0;
        }
        if (free > waitingLonger(account, active, now)) {
            account.beginTurn(now);
        }
        if (!now.isBefore(account.turnEnds())) {
            return 0;
        }
        boolean alone = active.size() == 1;
        return alone ? Math.min(account.wanted(), free) : 1;
    }

    private static int waitingLonger(HolderAccount account, List<HolderAccount> active, Instant now) {
        int longer = 0;
        for (HolderAccount each : active) {
            boolean served = now.isBefore(each.turnEnds()) || each.reserve(now) > 0;
            if (each == account || served) {
                continue;
            }
            if (each.waitingSince().isBefore(account.waitingSince())) {
                longer++;
            }
        }
        return longer;
    }

    /** The holders that may still start something and have not been told to stop; notes that they are told now. */
    List<NodeId> withdraw(Instant now) {
        List<NodeId> told = new ArrayList<>();
        for (Map.Entry<NodeId, HolderAccount> each : holders.entrySet()) {
            if (each.getValue().withdraw(now)) {
                told.add(each.getKey());
            }
        }
        return told;
    }

    /** Forgets what can have no effect any more. A member is kept, so that its successes are not counted twice. */
    void expire(Collection<NodeId> members, Instant now) {
        for (HolderAccount each : holders.values()) {
            each.expire(now);
        }
        holders.entrySet()
                .removeIf(each ->
                        !members.contains(each.getKey()) && each.getValue().reserve(now) == 0);
    }

    /** The most that each holder may have in flight. */
    Map<NodeId, Integer> reserves(Instant now) {
        Map<NodeId, Integer> reserves = new TreeMap<>();
        for (Map.Entry<NodeId, HolderAccount> each : holders.entrySet()) {
            reserves.put(each.getKey(), each.getValue().reserve(now));
        }
        return reserves;
    }

    Optional<LoadReport> report() {
        return report;
    }
}
