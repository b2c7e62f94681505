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

/** What an owner knows of one upstream: its limit, and what every holder may have in flight there. */
final class UpstreamAccount {
    private static final int MAX_MISSED_REPORTS = 3;
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(1500);
    private static final Duration MAX_REPORT_LAG = Duration.ofSeconds(3);

    private final PoolId pool;
    private final Map<NodeId, HolderAccount> holders = new TreeMap<>();
    private Optional<LoadReport> report = Optional.empty();
    private int missedReports;
    private long fencingNumber;
    private boolean granting;
    private Instant inFlightUnknownUntil = Instant.MAX;
    private Optional<Instant> firstReportSinceGranting = Optional.empty();
    private long successes;
    private boolean countHistory = true;
    private Instant lastLoadRequest = Instant.MIN;
    private Instant reportAskedAt = Instant.MIN;

    UpstreamAccount(PoolId pool) {
        this.pool = pool;
    }

    PoolId pool() {
        return pool;
    }

    /** Whether a load report is due to be requested; if so, records that it is requested. */
    boolean loadRequestDue(Instant now) {
        if (now.isBefore(lastLoadRequest.plus(GrantOwner.LOAD_INTERVAL))) {
            return false;
        }
        lastLoadRequest = now;
        return true;
    }

    /**
     * Records that this node may grant under a fencing number.
     *
     * <p>When ownership changes, the allowances of the previous owner have expired, but requests started under them may
     * still run, at holders that are dead or unreachable, and a cold upstream would get them on top of what the new
     * owner grants. So while the upstream is cold, nothing is granted until the longest possible attempt has ended, or
     * until the upstream itself reports that nothing is running.
     */
    void beginGranting(long newFencingNumber, Instant now) {
        if (granting && fencingNumber == newFencingNumber) {
            return;
        }
        granting = true;
        fencingNumber = newFencingNumber;
        inFlightUnknownUntil = now.plus(GrantOwner.MAX_ATTEMPT_DURATION);
        firstReportSinceGranting = Optional.empty();
    }

    /** Applies a load report. Returns whether allowances have to be withdrawn because the upstream has restarted. */
    boolean onReport(LoadReport newest, PoolContract contract, Instant now) {
        missedReports = 0;
        boolean restarted = report.isPresent() && !report.get().startedAt().equals(newest.startedAt());
        if (!restarted
                && report.isPresent()
                && newest.reportedAt().isBefore(report.get().reportedAt())) {
            return false;
        }
        report = Optional.of(newest);
        reportAskedAt = lastLoadRequest;
        checkIdle(newest, restarted, now);
        if (!restarted) {
            return false;
        }
        // This is a new process: whatever holders have counted since its start is evidence.
        successes = 0;
        countHistory = true;
        return exceedsColdLimit(contract, now);
    }

    /** Whether holders may have more requests in flight than the upstream can take while it is cold. */
    private boolean exceedsColdLimit(PoolContract contract, Instant now) {
        int reserved = 0;
        for (HolderAccount each : holders.values()) {
            reserved += each.reserve(now);
        }
        return reserved > contract.coldLimit();
    }

    /**
     * A report of an idle upstream ends the wait of a new owner once it describes a moment after the ownership began.
     */
    private void checkIdle(LoadReport newest, boolean restarted, Instant now) {
        if (!granting) {
            return;
        }
        if (firstReportSinceGranting.isEmpty() || restarted) {
            firstReportSinceGranting = Optional.of(newest.reportedAt());
            return;
        }
        Instant trustedFrom = firstReportSinceGranting.get().plus(MAX_REPORT_LAG);
        boolean idle = newest.running() + newest.waiting() == 0;
        if (idle && !newest.reportedAt().isBefore(trustedFrom) && now.isBefore(inFlightUnknownUntil)) {
            inFlightUnknownUntil = now;
        }
    }

    /** Records that a load report did not arrive. Returns whether allowances have to be withdrawn. */
    boolean onMissing(PoolContract contract, Instant now) {
        missedReports++;
        if (missedReports < MAX_MISSED_REPORTS) {
            return false;
        }
        markCold();
        return exceedsColdLimit(contract, now);
    }

    /**
     * Marks the upstream as cold without a known restart, because of failures or missing reports, or because it is out
     * of service and has to come back with the cold limit, so that not all nodes return to it at once. What holders
     * have counted so far is no longer evidence.
     */
    void markCold() {
        successes = 0;
        countHistory = false;
        for (HolderAccount each : holders.values()) {
            each.discountHistory();
        }
    }

    /**
     * Applies the grant request of a holder.
     *
     * @param demand what the request says of this upstream; empty if it does not name the upstream
     * @return whether allowances have to be withdrawn because an attempt at the upstream failed
     */
    boolean onGrantRequest(
            NodeId holder, long applied, Optional<GrantDemand> demand, PoolContract contract, Instant now) {
        if (demand.isEmpty() && !holders.containsKey(holder)) {
            return false;
        }
        HolderAccount account = holders.computeIfAbsent(holder, id -> new HolderAccount());
        account.onGrantRequest(applied, demand, now);
        if (demand.isEmpty()) {
            return false;
        }
        if (report.isPresent()) {
            successes += account.newSuccesses(demand.get(), report.get().startedAt(), countHistory);
        }
        if (!demand.get().failed()) {
            return false;
        }
        markCold();
        account.resumeCounting();
        return exceedsColdLimit(contract, now);
    }

    /**
     * Whether the upstream has yet to show that it can take more than its cold limit.
     *
     * <p>An owner that was paused may miss a restart, and on waking finds grant requests with enough successes from
     * before it. So its knowledge is valid for a short time only, counted from when the last answered load request was
     * sent: the answer itself may have waited while the owner was paused.
     */
    boolean cold(PoolContract contract, Instant now) {
        boolean stale = now.isAfter(reportAskedAt.plus(MAX_REPORT_AGE));
        return successes < contract.warmAfter() || stale || missedReports >= MAX_MISSED_REPORTS;
    }

    /**
     * The maximum number of requests in flight. It doubles when the upstream becomes warm, and again after each further
     * number of successes equal to the new limit.
     */
    int limit(PoolContract contract, Instant now) {
        int limit = contract.coldLimit();
        if (cold(contract, now)) {
            return limit;
        }
        int maximum = Math.max(contract.coldLimit(), contract.warmLimit());
        long needed = contract.warmAfter();
        while (limit < maximum && successes >= needed) {
            limit = Math.min(maximum, 2 * limit);
            needed += limit;
        }
        return limit;
    }

    /** Creates the offer to a holder for this upstream. The sum of all reserves never rises above the limit. */
    GrantOffer offer(GrantDemand demand, NodeId holder, long sequence, PoolContract contract, Instant now) {
        HolderAccount account = holders.get(holder);
        int limit = limit(contract, now);
        int free = Math.max(0, limit - reservedByOthers(holder, contract, now));
        List<HolderAccount> active = active(now);
        boolean turns = cold(contract, now) || limit < active.size();
        int allowed = turns ? turn(account, active, free, now) : warmShare(account, active, limit, free);
        Duration lifetime = Timing.MAX_GRANT_LIFETIME;
        if (turns && allowed > 0) {
            lifetime = Duration.between(now, account.turnEnds());
        }
        account.issue(sequence, allowed, lifetime, now);
        return new GrantOffer(demand.upstream(), allowed, lifetime, cold(contract, now), report);
    }

    /** An offer of 0. */
    GrantOffer emptyOffer(GrantDemand demand, Duration lifetime, PoolContract contract, Instant now) {
        return new GrantOffer(demand.upstream(), 0, lifetime, cold(contract, now), report);
    }

    private int reservedByOthers(NodeId holder, PoolContract contract, Instant now) {
        int reserved = 0;
        if (cold(contract, now) && now.isBefore(inFlightUnknownUntil)) {
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

    /** The max-min fair share of a holder at a warm upstream. */
    private int warmShare(HolderAccount account, List<HolderAccount> active, int limit, int free) {
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

    /**
     * A short turn at an upstream whose limit is lower than the number of holders that want it, or that is cold. The
     * holder that has waited longest comes first.
     */
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
        boolean onlyHolder = active.size() == 1;
        return onlyHolder ? Math.min(account.wanted(), free) : 1;
    }

    private static int waitingLonger(HolderAccount account, List<HolderAccount> active, Instant now) {
        int count = 0;
        for (HolderAccount each : active) {
            boolean served = now.isBefore(each.turnEnds()) || each.reserve(now) > 0;
            if (each == account || served) {
                continue;
            }
            if (each.waitingSince().isBefore(account.waitingSince())) {
                count++;
            }
        }
        return count;
    }

    /** The holders that may still start something and have not been told to stop; records that they are told now. */
    List<NodeId> withdraw(Instant now) {
        List<NodeId> notified = new ArrayList<>();
        for (Map.Entry<NodeId, HolderAccount> each : holders.entrySet()) {
            if (each.getValue().withdraw(now)) {
                notified.add(each.getKey());
            }
        }
        return notified;
    }

    /**
     * Drops what can no longer have any effect. The account of a member is kept, so that its successes are not counted
     * twice.
     */
    void expire(Collection<NodeId> members, Instant now) {
        for (HolderAccount each : holders.values()) {
            each.expire(now);
        }
        holders.entrySet()
                .removeIf(each ->
                        !members.contains(each.getKey()) && each.getValue().reserve(now) == 0);
    }

    /** The maximum number of requests that each holder may have in flight. */
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
