package org.wagtaillug.serving;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.SegmentId;
import org.wagtaillug.routing.PrefixSegment;

/**
 * The parts of a caller's request that decisions depend on. Its head and body stay with the I/O layer.
 *
 * @param id id of the request, chosen by the caller; a retry has another one
 * @param host the requested host
 * @param path the requested path
 * @param callerKey the API key of the caller
 * @param callerTimeout how long the caller waits from now
 * @param items number of items of each step; 0 for steps that are not listed
 * @param itemKey input of steps without predecessors
 * @param promptSegments segments of the prompt, in order; empty if there is none
 * @param promptTokens length of the prompt, 0 if there is none
 * @param maxOutputTokens the maximum number of tokens of the answer; 0 if unknown
 * @param resumption the interrupted stream that the caller takes up; empty if it begins a new one
 */
public record RoutedRequest(
        RequestId id,
        String host,
        String path,
        Optional<String> callerKey,
        Duration callerTimeout,
        List<Integer> items,
        Optional<String> itemKey,
        List<PrefixSegment> promptSegments,
        int promptTokens,
        int maxOutputTokens,
        Optional<Resumption> resumption) {
    private static final int MAX_SHARED_SEGMENTS = 64;

    /** Makes defensive copies of the lists. */
    public RoutedRequest {
        items = List.copyOf(items);
        promptSegments = List.copyOf(promptSegments);
    }

    /** The same request when some of the time that its caller waits has passed. */
    public RoutedRequest after(Duration elapsed) {
        Duration left = callerTimeout.minus(elapsed);
        return new RoutedRequest(
                id,
                host,
                path,
                callerKey,
                left.isNegative() ? Duration.ZERO : left,
                items,
                itemKey,
                promptSegments,
                promptTokens,
                maxOutputTokens,
                resumption);
    }

    /** The segments that other requests may share; the last one belongs to this request or to its session. */
    public List<PrefixSegment> sharedSegments() {
        return promptSegments.isEmpty() ? List.of() : promptSegments.subList(0, promptSegments.size() - 1);
    }

    /** The ids of the first of these segments; callers choose how many there are. */
    public Set<SegmentId> sharedSegmentIds() {
        Set<SegmentId> ids = new LinkedHashSet<>();
        for (PrefixSegment segment : sharedSegments()) {
            if (ids.size() == MAX_SHARED_SEGMENTS) {
                break;
            }
            if (!segment.id().isBlank()) {
                ids.add(SegmentId.of(segment.id()));
            }
        }
        return ids;
    }

    /** Identifies the whole content; equal for retries under other ids, and for streams that their callers take up. */
    public SegmentId contentId() {
        StringJoiner text = new StringJoiner("\n");
        text.add(host).add(path).add(items.toString()).add(itemKey.orElse(""));
        promptSegments.forEach(segment -> text.add(segment.toString()));
        return SegmentId.ofContent(text.add(Integer.toString(promptTokens)).toString());
    }

    /**
     * What may be the cause if upstreams crash under this request: segments that it shares with others, or its whole content.
     * Without a prompt, requests that have nothing to do with one another look alike.
     */
    public Set<SegmentId> crashSuspects() {
        Set<SegmentId> suspects = sharedSegmentIds();
        if (!promptSegments.isEmpty()) {
            suspects.add(contentId());
        }
        return suspects;
    }

    /** Returns the number of items of a step. */
    public int itemsOf(int step) {
        return step < items.size() ? items.get(step) : 0;
    }
}
