package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.result.ResultCode;

/** The requests whose next attempt waits for an upstream, for a path or for a read of the directory. */
final class WaitingSends {
    /** If all upstreams are too busy, a request waits for its latency target divided by this and is then refused. */
    private static final int ADMISSION_WAIT_DIVISOR = 8;

    private final AttemptSelection selection;
    private final Map<RequestId, Instant> admissionDeadlines = new LinkedHashMap<>();
    private final Set<RequestId> unconfirmed = new LinkedHashSet<>();

    WaitingSends(AttemptSelection selection) {
        this.selection = selection;
    }

    /**
     * Lets a request wait for an upstream or for a path.
     *
     * @param reachable whether there is a path, so that only the limits of the upstreams stand against it
     * @return why the request must not wait any longer; empty if it waits
     */
    Optional<AttemptSelection.Selection.Impossible> waitForUpstream(Flow flow, boolean reachable, Instant now) {
        Duration maxWait = flow.route().latencyTarget().dividedBy(ADMISSION_WAIT_DIVISOR);
        Instant until = admissionDeadlines.computeIfAbsent(flow.request().id(), id -> now.plus(maxWait));
        boolean noneInTime = reachable && !selection.announcementsAllow(flow, until, now);
        if (!noneInTime && now.isBefore(until)) {
            return Optional.empty();
        }
        if (reachable) {
            String message = "all upstreams of pool \"" + flow.pool() + "\" are at their limits";
            return Optional.of(new AttemptSelection.Selection.Impossible(ResultCode.UPSTREAM_FULL, message));
        }
        return Optional.of(new AttemptSelection.Selection.Impossible(
                ResultCode.NO_UPSTREAM, "no path to pool \"" + flow.pool() + "\" was found in time"));
    }

    /** Lets a request wait for a read of the directory. */
    void addUnconfirmed(RequestId request) {
        unconfirmed.add(request);
    }

    /** Returns and forgets the requests that wait for a read of the directory. */
    List<RequestId> pollUnconfirmed() {
        List<RequestId> requests = List.copyOf(unconfirmed);
        unconfirmed.clear();
        return requests;
    }

    /** The requests that wait for an upstream or for a path. */
    List<RequestId> forUpstreams() {
        return List.copyOf(admissionDeadlines.keySet());
    }

    /** Records that a request is sent or has ended. */
    void remove(RequestId request) {
        admissionDeadlines.remove(request);
    }
}
