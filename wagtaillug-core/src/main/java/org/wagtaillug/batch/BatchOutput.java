package org.wagtaillug.batch;

import java.time.Instant;
import java.util.List;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.node.Decision;

/** Receives the actions of a {@link BatchScheduler}. */
public interface BatchOutput {
    /** Starts a call; its outcome is reported to {@link BatchScheduler#onCallEnded}. */
    void call(BatchCall call);

    /** Reports the outcome of an order to the node that placed it. */
    void outcome(BatchOrder order, BatchOutcome outcome, Instant now);

    /** Releases results at a server; completion is reported to {@link BatchScheduler#onReleaseEnded}. */
    void release(long number, Listing server, List<String> handles);

    /** Writes a decision to the decision log. */
    void logDecision(Decision decision);
}
