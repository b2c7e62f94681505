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
 * The crashes of upstreams that all nodes have seen, with the segments of the prompts that were there and the contents of the
 * requests.
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

    /** The tries of a caller follow one another within this time. */
    private static final Duration CONTENT_REPORT_TIME = Duration.ofSeconds(30);

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
     * @param lastAt the time of the last one
     */
    record Suspect(Set<SegmentId> segments, int crashes, Instant firstAt, Instant lastAt) {}

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

    /** Whether something is known to have been present at the crash of a run. */
    boolean includes(UpstreamRun run, SegmentId segment) {
        Crash crash = pooled().get(run);
        return crash != null && crash.segments().contains(segment);
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
            if (crash.at().isBefore(now.minus(CONTENT_REPORT_TIME))) {
                incomplete.removeIf(SegmentId::isContent);
            }
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

    /** The segments that were present at crashes after a time. */
    Set<SegmentId> segmentsSince(Instant time) {
        Set<SegmentId> segments = new HashSet<>();
        for (Crash crash : pooled().values()) {
            if (crash.at().isAfter(time)) {
                segments.addAll(crash.segments());
            }
        }
        return segments;
    }

    /**
     * Explains the crashes: the segments that were present at most of them, then those that were present at most of the
     * others, and so on. Where one request was present at all crashes of a segment, its content explains them as well, and
     * refusing that keeps fewer requests away.
     *
     * @param completed when segments were completed, by any node as far as known
     * @param earlier the number of earlier crashes that nobody knows in detail any more, by segment
     * @param thresholds the number of crashes that make a suspect
     */
    List<Suspect> explain(
            CompletedSegments completed, Map<SegmentId, Integer> earlier, Thresholds thresholds, Instant now) {
        List<Crash> unexplained = settled(now);
        List<Suspect> suspects = new ArrayList<>();
        while (true) {
            Optional<Suspect> strongest = strongest(unexplained, completed, earlier, thresholds);
            if (strongest.isEmpty()) {
                return suspects;
            }
            Set<SegmentId> segments = strongest.get().segments();
            Set<SegmentId> common = contentsOfAll(unexplained, segments);
            if (common.isEmpty()) {
                suspects.add(strongest.get());
                unexplained.removeIf(crash -> crash.segments().containsAll(segments));
            } else {
                unexplained.removeIf(crash -> crash.segments().containsAll(common));
            }
        }
    }

    /** The contents of requests that were present at each crash with some segments. */
    private static Set<SegmentId> contentsOfAll(List<Crash> crashes, Set<SegmentId> segments) {
        Optional<Set<SegmentId>> common = Optional.empty();
        for (Crash crash : crashes) {
            if (crash.segments().containsAll(segments)) {
                Set<SegmentId> contents = new HashSet<>(crash.segments());
                contents.removeIf(segment -> !segment.isContent());
                common.ifPresent(contents::retainAll);
                common = Optional.of(contents);
            }
        }
        return common.orElse(Set.of());
    }

    /**
     * The number of crashes that make a suspect.
     *
     * @param crashes for segments of which no completion is known
     * @param afterCompletion for segments that were completed within the completion memory before their first crash
     * @param completionMemory how long completions count
     */
    record Thresholds(int crashes, int afterCompletion, Duration completionMemory) {}

    private Optional<Suspect> strongest(
            List<Crash> crashes, CompletedSegments completed, Map<SegmentId, Integer> earlier, Thresholds thresholds) {
        Map<SegmentId, Set<Crash>> all = crashesOf(crashes, completed);
        Map<SegmentId, Set<Crash>> neverCompleted = new LinkedHashMap<>(all);
        neverCompleted.entrySet().removeIf(entry -> {
            Instant firstAt = ordered(entry.getValue()).getFirst().at();
            return completed.completedAfter(entry.getKey(), firstAt.minus(thresholds.completionMemory()));
        });
        return strongest(neverCompleted, earlier, thresholds.crashes())
                .or(() -> strongest(all, earlier, thresholds.afterCompletion()));
    }

    private static Optional<Suspect> strongest(
            Map<SegmentId, Set<Crash>> crashesOf, Map<SegmentId, Integer> earlier, int threshold) {
        Set<Crash> most = Set.of();
        int count = 0;
        for (Map.Entry<SegmentId, Set<Crash>> entry : crashesOf.entrySet()) {
            int total = distinct(entry.getValue()) + earlier.getOrDefault(entry.getKey(), 0);
            if (total > count) {
                most = entry.getValue();
                count = total;
            }
        }
        if (count < threshold) {
            return Optional.empty();
        }
        Set<SegmentId> together = new HashSet<>();
        for (Map.Entry<SegmentId, Set<Crash>> entry : crashesOf.entrySet()) {
            int total = distinct(entry.getValue()) + earlier.getOrDefault(entry.getKey(), 0);
            if (total == count && entry.getValue().equals(most)) {
                together.add(entry.getKey());
            }
        }
        return Optional.of(suspect(together, count, most));
    }

    private static Suspect suspect(Set<SegmentId> segments, int crashes, Collection<Crash> present) {
        List<Crash> ordered = ordered(present);
        return new Suspect(
                segments, crashes, ordered.getFirst().at(), ordered.getLast().at());
    }

    /** The crashes at which each segment that several requests may share was present without being completed since. */
    private static Map<SegmentId, Set<Crash>> crashesOf(List<Crash> crashes, CompletedSegments completed) {
        Map<SegmentId, Set<Crash>> crashesOf = new LinkedHashMap<>();
        for (Crash crash : crashes) {
            for (SegmentId segment : new TreeSet<>(incomplete(crash, completed))) {
                if (!segment.isContent()) {
                    crashesOf.computeIfAbsent(segment, any -> new HashSet<>()).add(crash);
                }
            }
        }
        return crashesOf;
    }

    /** The contents of requests that were present at crashes. */
    Set<SegmentId> contents() {
        Set<SegmentId> contents = new HashSet<>();
        for (Crash crash : pooled().values()) {
            crash.segments().stream().filter(SegmentId::isContent).forEach(contents::add);
        }
        return contents;
    }

    /**
     * The crashes at which the content of a request was present without being completed since; empty if there are none, or if
     * it was completed not long before the first one, as other requests may then share it.
     *
     * @param completionMemory how long completions before the first crash count
     */
    Optional<Suspect> suspect(SegmentId content, CompletedSegments completed, Duration completionMemory) {
        List<Crash> present = new ArrayList<>();
        for (Crash crash : pooled().values()) {
            if (crash.segments().contains(content) && !completed.completedAfter(content, crash.at())) {
                present.add(crash);
            }
        }
        return present.isEmpty()
                ? Optional.empty()
                : Optional.of(suspect(Set.of(content), present.size(), present))
                        .filter(suspect -> !completed.completedAfter(
                                content, suspect.firstAt().minus(completionMemory)));
    }

    /** The number of crashes at which all of some segments were present without being completed since. */
    int count(Set<SegmentId> segments, CompletedSegments completed, Instant now) {
        List<Crash> crashes = settled(now);
        crashes.removeIf(crash -> !incomplete(crash, completed).containsAll(segments));
        return distinct(crashes);
    }

    /** The crashes of which all reports should have arrived. */
    private List<Crash> settled(Instant now) {
        List<Crash> settled = new ArrayList<>(pooled().values());
        settled.removeIf(crash -> crash.at().isAfter(now.minus(REPORT_DELAY)));
        return settled;
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
