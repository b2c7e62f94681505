package org.wagtaillug.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.SegmentId;

/**
 * The crashes of upstreams that all nodes have seen, with the segments of the prompts that were there.
 *
 * <p>Prompts that are sound are interrupted by a crash as well. What tells them apart: a segment that crashes upstreams is
 * never completed, and was present at each of the crashes that it causes, while a sound one is completed between crashes or
 * was present at fewer of them.
 */
final class CrashEvidence {
    /** A crash counts after this time, when the reports of the other nodes that had requests there have arrived. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(250);

    /** Upstreams that end within this time of one another may have a common cause and count as one crash. */
    private static final Duration SAME_CAUSE_INTERVAL = Duration.ofMillis(50);

    private static final Duration LIFETIME = Duration.ofMinutes(10);

    /** Maximum number of crashes that one node reports, and of segments of each. */
    private static final int MAX_CRASHES = 32;

    private static final int MAX_SEGMENTS = 64;

    private final NodeId self;
    private final Map<NodeId, List<Crash>> crashesByNode = new HashMap<>();
    private Optional<Map<UpstreamRun, Crash>> pooled = Optional.empty();

    private record Crash(UpstreamRun run, Set<SegmentId> segments, Instant at) {}

    /**
     * Segments that were present at the same crashes, so that they cannot be told apart.
     *
     * @param segments the segments
     * @param crashes the number of these crashes
     * @param firstAt the time of the first one
     */
    record Suspect(Set<SegmentId> segments, int crashes, Instant firstAt) {}

    CrashEvidence(NodeId self) {
        this.self = self;
    }

    /** Records that an attempt of this node was at an upstream when that crashed. */
    void onCrash(UpstreamRun run, Collection<SegmentId> segments, Instant now) {
        pooled = Optional.empty();
        List<Crash> own = crashesByNode.computeIfAbsent(self, node -> new ArrayList<>());
        Set<SegmentId> present = new HashSet<>();
        Instant at = now;
        for (Crash known : List.copyOf(own)) {
            if (known.run().equals(run)) {
                own.remove(known);
                present.addAll(known.segments());
                at = known.at();
            }
        }
        for (SegmentId segment : segments) {
            if (present.size() < MAX_SEGMENTS) {
                present.add(segment);
            }
        }
        own.add(new Crash(run, present, at));
        if (own.size() > MAX_CRASHES) {
            own.removeFirst();
        }
    }

    /** Records an answer of an upstream to an attempt, so that it has not crashed before that was sent. */
    void onAnswer(UpstreamRun run, Instant sentAt) {
        boolean wrong = crashesByNode
                .getOrDefault(self, new ArrayList<>())
                .removeIf(crash -> crash.run().equals(run) && crash.at().isBefore(sentAt));
        if (wrong) {
            pooled = Optional.empty();
        }
    }

    /** Replaces the crashes that a peer has seen. */
    void onReports(NodeId peer, List<CrashReport> reports, Instant now) {
        List<Crash> crashes = new ArrayList<>();
        for (CrashReport report : reports) {
            crashes.add(new Crash(report.run(), report.segments(), now.minus(report.age())));
        }
        if (crashes.isEmpty() && !crashesByNode.containsKey(peer)) {
            return;
        }
        pooled = Optional.empty();
        if (crashes.isEmpty()) {
            crashesByNode.remove(peer);
        } else {
            crashesByNode.put(peer, crashes);
        }
    }

    /** The crashes that this node has seen, without segments that were completed since. */
    List<CrashReport> ownReports(CompletedSegments completed, Instant now) {
        List<CrashReport> reports = new ArrayList<>();
        for (Crash crash : crashesByNode.getOrDefault(self, List.of())) {
            Set<SegmentId> incomplete = incomplete(crash, completed);
            if (!incomplete.isEmpty()) {
                reports.add(new CrashReport(crash.run(), incomplete, Duration.between(crash.at(), now)));
            }
        }
        return reports;
    }

    private static Set<SegmentId> incomplete(Crash crash, CompletedSegments completed) {
        Set<SegmentId> incomplete = new HashSet<>();
        for (SegmentId segment : crash.segments()) {
            if (!completed.completedAfter(segment, crash.at())) {
                incomplete.add(segment);
            }
        }
        return incomplete;
    }

    /** All segments that were present at a crash. */
    Set<SegmentId> segments() {
        Set<SegmentId> segments = new HashSet<>();
        crashesByNode.values().forEach(crashes -> crashes.forEach(crash -> segments.addAll(crash.segments())));
        return segments;
    }

    /**
     * The segments that were present at most crashes.
     *
     * @param explaining prompts that are known to crash upstreams; crashes at which one of them was present count no more
     * @param completed when segments were completed, by any node as far as known
     * @param completionMemory segments that were completed within this time before their first crash are left out
     * @return empty if no crash is left
     */
    Optional<Suspect> strongest(
            Collection<Set<SegmentId>> explaining,
            CompletedSegments completed,
            Duration completionMemory,
            Instant now) {
        Map<SegmentId, Set<Crash>> crashesOf = crashesOf(explaining, completed, now);
        crashesOf.entrySet().removeIf(entry -> {
            Instant firstAt = ordered(entry.getValue()).getFirst().at();
            return completed.completedAfter(entry.getKey(), firstAt.minus(completionMemory));
        });
        Set<Crash> most = Set.of();
        int count = 0;
        for (Set<Crash> crashes : crashesOf.values()) {
            int distinct = distinct(crashes);
            if (distinct > count) {
                most = crashes;
                count = distinct;
            }
        }
        if (count == 0) {
            return Optional.empty();
        }
        Set<SegmentId> together = new HashSet<>();
        for (Map.Entry<SegmentId, Set<Crash>> entry : crashesOf.entrySet()) {
            if (entry.getValue().equals(most)) {
                together.add(entry.getKey());
            }
        }
        return Optional.of(new Suspect(together, count, ordered(most).getFirst().at()));
    }

    /** The crashes at which each segment was present without being completed since. */
    private Map<SegmentId, Set<Crash>> crashesOf(
            Collection<Set<SegmentId>> explaining, CompletedSegments completed, Instant now) {
        Map<SegmentId, Set<Crash>> crashesOf = new LinkedHashMap<>();
        for (Crash crash : unexplained(explaining, now)) {
            for (SegmentId segment : new TreeSet<>(incomplete(crash, completed))) {
                crashesOf.computeIfAbsent(segment, any -> new HashSet<>()).add(crash);
            }
        }
        return crashesOf;
    }

    private List<Crash> unexplained(Collection<Set<SegmentId>> explaining, Instant now) {
        Instant latest = now.minus(REPORT_DELAY);
        List<Crash> unexplained = new ArrayList<>();
        for (Crash crash : pooled().values()) {
            boolean explained = explaining.stream().anyMatch(crash.segments()::containsAll);
            if (!explained && !crash.at().isAfter(latest)) {
                unexplained.add(crash);
            }
        }
        return unexplained;
    }

    /** One crash for each run of an upstream, however many nodes have seen it. */
    private Map<UpstreamRun, Crash> pooled() {
        if (pooled.isEmpty()) {
            Map<UpstreamRun, Crash> crashesByRun = new LinkedHashMap<>();
            for (List<Crash> crashes : crashesByNode.values()) {
                for (Crash crash : crashes) {
                    crashesByRun.merge(crash.run(), crash, CrashEvidence::merged);
                }
            }
            pooled = Optional.of(crashesByRun);
        }
        return pooled.get();
    }

    private static Crash merged(Crash one, Crash other) {
        Set<SegmentId> segments = new HashSet<>(one.segments());
        segments.addAll(other.segments());
        return new Crash(one.run(), segments, one.at().isBefore(other.at()) ? one.at() : other.at());
    }

    private static List<Crash> ordered(Collection<Crash> crashes) {
        List<Crash> ordered = new ArrayList<>(crashes);
        ordered.sort(Comparator.comparing(Crash::at));
        return ordered;
    }

    private static int distinct(Collection<Crash> crashes) {
        int distinct = 0;
        Instant previous = Instant.MIN;
        for (Crash crash : ordered(crashes)) {
            if (previous.equals(Instant.MIN) || crash.at().isAfter(previous.plus(SAME_CAUSE_INTERVAL))) {
                distinct++;
            }
            previous = crash.at();
        }
        return distinct;
    }

    /** Whether the run of an upstream ended at a time or right after it, as far as any node is known to have seen it. */
    boolean crashedSoonAfter(UpstreamRun run, Instant time) {
        Crash crash = pooled().get(run);
        return crash != null && crash.at().isBefore(time.plus(UnconfirmedCompletions.CONFIRMATION_TIME));
    }

    boolean any() {
        return !crashesByNode.isEmpty();
    }

    boolean crashedSince(Instant time) {
        return crashesByNode.values().stream().flatMap(List::stream).anyMatch(crash -> crash.at()
                .isAfter(time));
    }

    /** Drops crashes that are too old. */
    void expire(Instant now) {
        if (crashesByNode.isEmpty()) {
            return;
        }
        pooled = Optional.empty();
        Instant oldest = now.minus(LIFETIME);
        crashesByNode
                .values()
                .forEach(crashes -> crashes.removeIf(crash -> crash.at().isBefore(oldest)));
        crashesByNode.values().removeIf(List::isEmpty);
    }
}
