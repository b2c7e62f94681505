package org.wagtaillug.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import org.wagtaillug.id.SegmentId;

/**
 * The latest completions, after which the upstream may still crash. An answer that ends with its connection looks complete if
 * the upstream crashes between two events.
 */
final class UnconfirmedCompletions {
    /** An upstream that a prompt crashes ends within this time of the end of the answer. */
    static final Duration CONFIRMATION_TIME = Duration.ofMillis(600);

    private static final int CAPACITY = 2_000;

    private final Deque<Completion> completions = new ArrayDeque<>();

    private record Completion(UpstreamRun run, Set<SegmentId> segments, boolean delimited, Instant at) {}

    void add(UpstreamRun run, Collection<SegmentId> segments, Instant now) {
        add(run, segments, true, now);
    }

    /** Adds an answer without a length or chunks, which is never confirmed. */
    void addUndelimited(UpstreamRun run, Collection<SegmentId> segments, Instant now) {
        add(run, segments, false, now);
    }

    private void add(UpstreamRun run, Collection<SegmentId> segments, boolean delimited, Instant now) {
        if (segments.isEmpty()) {
            return;
        }
        completions.addLast(new Completion(run, Set.copyOf(segments), delimited, now));
        if (completions.size() > CAPACITY) {
            completions.removeFirst();
        }
    }

    /** Removes the completions at a run of an upstream that has crashed, and returns their segments. */
    Set<SegmentId> remove(UpstreamRun run) {
        Set<SegmentId> segments = new HashSet<>();
        for (Iterator<Completion> remaining = completions.iterator(); remaining.hasNext(); ) {
            Completion completion = remaining.next();
            if (completion.run().equals(run)) {
                segments.addAll(completion.segments());
                remaining.remove();
            }
        }
        return segments;
    }

    /** Moves the completions whose upstream has not crashed in time; returns whether there was one. */
    boolean confirm(CompletedSegments completed, Instant now) {
        boolean any = false;
        while (!completions.isEmpty()
                && !now.isBefore(completions.getFirst().at().plus(CONFIRMATION_TIME))) {
            Completion completion = completions.removeFirst();
            if (completion.delimited()) {
                completed.add(completion.segments(), completion.run(), completion.at());
                any = true;
            }
        }
        return any;
    }
}
