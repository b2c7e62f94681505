package org.wagtaillug.assignment;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wagtaillug.routing.PrefixSegment;

/**
 * The prompt segments that one engine has probably cached: those that were sent there last and fit its cache. Its holder sees
 * the requests of all nodes, so it counts what was sent, not the time since then as {@code PrefixHistory} does on a node that
 * sees a part of them.
 */
final class SentPrefixes {
    private final long maxTokens;
    private final Map<String, Integer> tokensBySegment = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;
    private long prompts;

    SentPrefixes(long maxTokens) {
        this.maxTokens = maxTokens;
    }

    /**
     * Records that a prompt was sent.
     *
     * @param unsharedTokens the tokens after the segments, which take part of the cache as well
     */
    void onSent(List<PrefixSegment> segments, long unsharedTokens) {
        prompts++;
        put("prompt " + prompts, (int) unsharedTokens);
        // The cache drops the later segments of a prompt first, because the earlier ones are shared more.
        for (PrefixSegment segment : segments.reversed()) {
            put(segment.id(), segment.tokens());
        }
        Iterator<Map.Entry<String, Integer>> eldest = tokensBySegment.entrySet().iterator();
        while (tokens > maxTokens && eldest.hasNext()) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    private void put(String segment, int length) {
        Integer before = tokensBySegment.put(segment, length);
        tokens += length - (before == null ? 0 : before);
    }

    /** The tokens at the beginning of a prompt that are cached: a segment is useful only together with all before it. */
    long cachedTokens(List<PrefixSegment> segments) {
        long cached = 0;
        for (PrefixSegment segment : segments) {
            if (!tokensBySegment.containsKey(segment.id())) {
                return cached;
            }
            cached += segment.tokens();
        }
        return cached;
    }
}
