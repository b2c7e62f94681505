package org.wagtaillug.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.routing.PrefixSegment;

/**
 * What became of an attempt at an engine, for the node that assigns the engines of its pool.
 *
 * @param request the request
 * @param attempt the number of the attempt, unique within a run of the sender
 * @param engine the engine
 * @param state what has happened last
 * @param segments the segments of its prompt that other requests may share; empty unless it was sent
 * @param promptTokens the length of the whole prompt; 0 unless it was sent
 * @param outputTokens the maximum number of tokens of the answer; 0 unless it was sent, or if unknown
 * @param deadlineLeft the time until its deadline; zero once it has ended
 * @param load the load that the engine has reported in its answer; empty if it has reported none
 */
public record AttemptReport(
        RequestId request,
        int attempt,
        VmId engine,
        State state,
        List<PrefixSegment> segments,
        int promptTokens,
        int outputTokens,
        Duration deadlineLeft,
        Optional<ServerLoad> load) {
    /** Makes a defensive copy of the list. */
    public AttemptReport {
        segments = List.copyOf(segments);
    }

    /** The progress of an attempt. */
    public enum State {
        /** It was sent. */
        SENT,
        /** Its answer has begun, so its prompt has been read. */
        ANSWERING,
        /** It has ended in any way. */
        ENDED
    }
}
