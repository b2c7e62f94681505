package org.wagtaillug.message;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.batch.QueueDelayEstimate;
import org.wagtaillug.batch.StepResult;
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.rollout.RolloutSample;

/** What nodes that route by host and path say to one another. Any message may be lost. */
public sealed interface ServingMessage extends PeerMessage {
    /**
     * The sender is up.
     *
     * @param reply whether it answers a heartbeat; a reply is not replied to
     * @param serving whether the sender takes work; false while it shuts down
     * @param follows whether the receiver should pass on what it reads of the feeds
     * @param storeLost whether the sender's newest read of a feed has failed
     * @param positions how far the sender has read each feed
     * @param waits expected waits at the pools whose calls the sender schedules; short ones are left out
     */
    record Heartbeat(
            boolean reply,
            boolean serving,
            boolean follows,
            boolean storeLost,
            Map<FeedName, Long> positions,
            List<QueueDelayEstimate> waits)
            implements ServingMessage {
        /** Copies the list. */
        public Heartbeat {
            waits = List.copyOf(waits);
        }
    }

    /**
     * What the sender has just read of a feed, without records that say nothing new.
     *
     * @param feed which feed
     * @param from the position that the read began at
     * @param batch the records, and the position after them
     * @param storeUnstable whether one of the sender's reads has failed lately
     */
    record FeedUpdate(FeedName feed, long from, FeedBatch batch, boolean storeUnstable) implements ServingMessage {}

    /**
     * Asks for what the store does not tell the sender.
     *
     * @param feed which feed
     * @param from the sender's position; 0 if it has read nothing
     */
    record FeedAsk(FeedName feed, long from) implements ServingMessage {}

    /**
     * The newest records from a position.
     *
     * @param feed which feed
     * @param batch the records
     */
    record FeedHelp(FeedName feed, FeedBatch batch) implements ServingMessage {}

    /**
     * Orders all pieces of a step from the node that fills the pool's calls; said again while nothing is heard. Times are
     * lengths, as clocks differ.
     *
     * @param number given once in a run of the sender
     * @param request whose
     * @param step the number of the step
     * @param pool the pool
     * @param pieces how many
     * @param key what a step without inputs works on
     * @param inputs the handles that each piece takes
     * @param resultBytes about how large one result is
     * @param near the failure domain where most of its inputs lie
     * @param rank 0 goes first
     * @param aimLeft the time to the aim, below zero once it has passed
     * @param deadlineLeft the time to the deadline
     */
    record PiecesWanted(
            long number,
            RequestId request,
            int step,
            PoolId pool,
            int pieces,
            Optional<String> key,
            List<String> inputs,
            long resultBytes,
            Optional<DomainId> near,
            int rank,
            Duration aimLeft,
            Duration deadlineLeft)
            implements ServingMessage {}

    /**
     * Answers {@link PiecesWanted}.
     *
     * @param number of the order
     * @param outcome what became of it
     */
    record PiecesAnswered(long number, BatchOutcome outcome) implements ServingMessage {}

    /**
     * The pieces of an order are not wanted any more.
     *
     * @param number of the order
     */
    record PiecesWithdrawn(long number) implements ServingMessage {}

    /**
     * What requests saw at the upstreams of a pool that is being rolled out.
     *
     * @param order the id of the rollout's order
     * @param samples what they saw, since the last report to the receiver
     */
    record RolloutReport(long order, List<RolloutSample> samples) implements ServingMessage {
        /** Copies the list. */
        public RolloutReport {
            samples = List.copyOf(samples);
        }
    }

    /**
     * Results may be given up.
     *
     * @param results which
     */
    record ResultsReleased(List<StepResult> results) implements ServingMessage {}
}
