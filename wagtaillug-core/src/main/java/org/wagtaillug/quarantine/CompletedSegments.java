package org.wagtaillug.quarantine;

import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.wagtaillug.id.SegmentId;

/** When prompts with a segment were last answered completely; beyond the capacity, the oldest entries are dropped. */
final class CompletedSegments {
    private static final int DEFAULT_CAPACITY = 20_000;

    private final int capacity;
    private final BiPredicate<UpstreamRun, Instant> refuted;
    private final Map<SegmentId, Completion> completions = new LinkedHashMap<>();

    /**
     * The latest completion of a segment.
     *
     * @param run the run of the upstream that answered; empty if the segment was found sound by a decision
     * @param at the end of the answer, or the time of the decision
     */
    record Completion(Optional<UpstreamRun> run, Instant at) {}

    /**
     * Creates a table without entries.
     *
     * @param refuted whether the upstream of a completion has crashed right after it, so that it shows nothing
     */
    CompletedSegments(BiPredicate<UpstreamRun, Instant> refuted) {
        this(refuted, DEFAULT_CAPACITY);
    }

    CompletedSegments(BiPredicate<UpstreamRun, Instant> refuted, int capacity) {
        this.refuted = refuted;
        this.capacity = capacity;
    }

    void add(Collection<SegmentId> segments, UpstreamRun run, Instant at) {
        if (!refuted.test(run, at)) {
            put(segments, new Completion(Optional.of(run), at));
        }
    }

    /** Records that segments were found sound, so that no crash before that counts against them. */
    void addDecision(Collection<SegmentId> segments, Instant at) {
        put(segments, new Completion(Optional.empty(), at));
    }

    private void put(Collection<SegmentId> segments, Completion completion) {
        for (SegmentId segment : segments) {
            Completion known = completions.remove(segment);
            boolean older = known != null && known.at().isAfter(completion.at());
            completions.put(segment, older ? known : completion);
        }
        while (completions.size() > capacity) {
            completions.remove(completions.keySet().iterator().next());
        }
    }

    /** The latest completion of a segment; empty if none is known. */
    Optional<Completion> latest(SegmentId segment) {
        return Optional.ofNullable(completions.get(segment))
                .filter(completion -> completion.run().isEmpty()
                        || !refuted.test(completion.run().get(), completion.at()));
    }

    /** Whether a segment was completed after a time. */
    boolean completedAfter(SegmentId segment, Instant time) {
        return latest(segment)
                .filter(completion -> completion.at().isAfter(time))
                .isPresent();
    }
}
