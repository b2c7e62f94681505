package org.wagtaillug.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tracks which fraction of this node's recent prompts, weighted by their tokens, contains each prefix segment. */
final class PrefixDemand {
    /** Long enough to see a popular segment several times, short enough to follow changes in demand. */
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** With fewer samples, a single long prompt would look like most of the load. */
    private static final int MIN_PROMPTS = 8;

    private final Deque<RecentPrompt> recent = new ArrayDeque<>();
    private final Map<String, Long> tokens = new HashMap<>();
    private long totalTokens;

    private record RecentPrompt(Instant at, List<PrefixSegment> segments, int tokens) {}

    void onPrompt(List<PrefixSegment> segments, int promptTokens, Instant now) {
        expire(now);
        recent.addLast(new RecentPrompt(now, segments, promptTokens));
        totalTokens += promptTokens;
        segments.forEach(segment -> tokens.merge(segment.id(), (long) promptTokens, Long::sum));
    }

    /** Whether there are enough recent prompts to estimate shares. */
    boolean hasEnoughSamples(Instant now) {
        expire(now);
        return recent.size() >= MIN_PROMPTS && totalTokens > 0;
    }

    /** The fraction of recent prompt tokens whose prompts contain a segment, 0 to 1; requires enough samples. */
    double share(PrefixSegment segment) {
        return (double) tokens.getOrDefault(segment.id(), 0L) / totalTokens;
    }

    private void expire(Instant now) {
        Instant oldest = now.minus(WINDOW);
        while (!recent.isEmpty() && recent.peekFirst().at().isBefore(oldest)) {
            RecentPrompt expired = recent.removeFirst();
            totalTokens -= expired.tokens();
            for (PrefixSegment segment : expired.segments()) {
                tokens.computeIfPresent(
                        segment.id(), (id, sum) -> sum > expired.tokens() ? sum - expired.tokens() : null);
            }
        }
    }
}
