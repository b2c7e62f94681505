package org.wagtaillug.directory;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.DepartureReport;

/**
 * The upstreams that have announced in answers that they leave.
 *
 * <p>An announcement holds until the upstream restarts, whatever its directory entry says: while the store is away the
 * entry stays as it was, and later an older one may be read.
 */
final class Departures {
    /** How long an announcement is kept for an upstream that is not listed, and reported to other nodes. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    /** Bounds the size of heartbeats. */
    private static final int MAX_REPORTS = 64;

    private final Map<VmId, Departure> departures = new HashMap<>();

    private record Departure(long latestStart, Instant at) {}

    /**
     * Adds an announcement.
     *
     * @param latestStart the latest start, in Unix milliseconds, of an incarnation that it concerns
     */
    void add(VmId upstream, long latestStart, Instant at) {
        Departure known = departures.get(upstream);
        if (known == null || known.latestStart() < latestStart) {
            departures.put(upstream, new Departure(latestStart, at));
        }
    }

    /** Whether the listed incarnation of an upstream, or a later one, has announced that it leaves. */
    boolean contains(Listing listing) {
        Departure known = departures.get(listing.id());
        return known != null && listing.incarnation() <= known.latestStart();
    }

    /** The latest announcements, for other nodes. */
    List<DepartureReport> reports(Instant now) {
        if (departures.isEmpty()) {
            return List.of();
        }
        List<DepartureReport> reports = new ArrayList<>();
        departures.forEach((upstream, departure) -> {
            Duration age = Duration.between(departure.at(), now);
            if (age.compareTo(RETENTION) < 0) {
                reports.add(new DepartureReport(upstream, departure.latestStart(), age));
            }
        });
        reports.sort(Comparator.comparing(DepartureReport::age));
        return reports.size() <= MAX_REPORTS ? reports : List.copyOf(reports.subList(0, MAX_REPORTS));
    }

    /** Drops old announcements of upstreams that are not listed. */
    void expire(Predicate<VmId> listed, Instant now) {
        Instant oldest = now.minus(RETENTION);
        departures
                .entrySet()
                .removeIf(entry ->
                        !listed.test(entry.getKey()) && entry.getValue().at().isBefore(oldest));
    }
}
