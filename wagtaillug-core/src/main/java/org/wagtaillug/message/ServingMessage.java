package org.wagtaillug.message;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.batch.OrderContext;
import org.wagtaillug.batch.QueueDelayEstimate;
import org.wagtaillug.batch.StepResult;
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.AttemptReport;
import org.wagtaillug.load.ContentionReport;
import org.wagtaillug.notice.DepartureReport;
import org.wagtaillug.notice.RateLimitReport;
import org.wagtaillug.quarantine.QuarantineReport;
import org.wagtaillug.rollout.RolloutSample;
import org.wagtaillug.routing.PrefixSegment;
import org.wagtaillug.stream.StreamOrigin;

/** The messages between nodes that route by host and path. Any message may be lost. */
public sealed interface ServingMessage extends PeerMessage {
    /**
     * The sender is up.
     *
     * @param reply whether this is the reply to a heartbeat; replies are not answered
     * @param serving whether the sender accepts work; false during shutdown
     * @param follows whether the receiver should relay its reads of the feeds to the sender
     * @param storeLost whether the sender's latest read of a feed has failed
     * @param positions the sender's position in each feed
     * @param waits expected queueing delays at the pools whose calls the sender schedules; short ones are omitted
     * @param rateLimits the rate limits of upstreams that the sender knows; the newest ones if there are many
     * @param departures the upstreams that have announced that they leave; the latest ones if there are many
     * @param paths what the sender reaches, and offers to other nodes
     * @param storesStreamOrigins whether the sender answers queries for the origins of streams
     * @param quarantine what the sender knows of prompts that crash upstreams
     * @param contention what the sender tells about the features for contended upstreams
     */
    record Heartbeat(
            boolean reply,
            boolean serving,
            boolean follows,
            boolean storeLost,
            Map<FeedName, Long> positions,
            List<QueueDelayEstimate> waits,
            List<RateLimitReport> rateLimits,
            List<DepartureReport> departures,
            Paths paths,
            boolean storesStreamOrigins,
            QuarantineReport quarantine,
            ContentionReport contention)
            implements ServingMessage {
        /** Makes a defensive copy of the lists. */
        public Heartbeat {
            waits = List.copyOf(waits);
            rateLimits = List.copyOf(rateLimits);
            departures = List.copyOf(departures);
        }
    }

    /**
     * The paths of a node to upstreams.
     *
     * @param unreachable the pools to whose upstreams it cannot connect
     * @param acceptsTunnels whether it forwards connections of other nodes to the upstreams that it reaches
     */
    record Paths(Set<PoolId> unreachable, boolean acceptsTunnels) {
        /** The paths of a node that reaches all pools and accepts no tunnels. */
        public static final Paths ALL_REACHABLE = new Paths(Set.of(), false);

        /** Makes a defensive copy of the set. */
        public Paths {
            unreachable = Set.copyOf(unreachable);
        }
    }

    /**
     * The result of the sender's latest read of a feed, without records that change nothing.
     *
     * @param feed which feed
     * @param from the position at which the read started
     * @param batch the records, with the position after them
     * @param storeUnstable whether one of the sender's reads has failed recently
     */
    record FeedUpdate(FeedName feed, long from, FeedBatch batch, boolean storeUnstable) implements ServingMessage {}

    /**
     * Requests records that the sender cannot read from the store.
     *
     * @param feed which feed
     * @param from the sender's position; 0 if it has read nothing
     */
    record FeedRequest(FeedName feed, long from) implements ServingMessage {}

    /**
     * The latest records from a position.
     *
     * @param feed which feed
     * @param batch the records
     */
    record FeedCatchUp(FeedName feed, FeedBatch batch) implements ServingMessage {}

    /**
     * Orders all items of a step from the node that schedules the pool's calls; resent until it is answered. Times are
     * durations, as the clocks of nodes differ.
     *
     * @param number unique within a run of the sender
     * @param request the request that the step belongs to
     * @param step the number of the step
     * @param pool the pool
     * @param items the number of items
     * @param key the key that a step without inputs works on
     * @param inputs the handles of the inputs of each item
     * @param resultBytes the approximate size of one result
     * @param inputsDomain the failure domain that holds most of its inputs
     * @param rank the priority rank; 0 is served first
     * @param targetTimeLeft the time until the latency target; negative once it has passed
     * @param deadlineLeft the time until the deadline
     * @param context what the sender tells about the request
     */
    record BatchRequest(
            long number,
            RequestId request,
            int step,
            PoolId pool,
            int items,
            Optional<String> key,
            List<String> inputs,
            long resultBytes,
            Optional<DomainId> inputsDomain,
            int rank,
            Duration targetTimeLeft,
            Duration deadlineLeft,
            OrderContext context)
            implements ServingMessage {}

    /** A response to a message that is identified by its number, which is unique within a run of its sender only. */
    sealed interface Reply extends ServingMessage {
        /** The run whose message it answers; empty if the sender's build does not name it. */
        Optional<NodeId> recipient();

        /** Whether it answers a message of a run, as far as the sender names the run. */
        default boolean isFor(NodeId run) {
            return recipient().isEmpty() || recipient().get().equals(run);
        }
    }

    /**
     * The response to {@link BatchRequest}.
     *
     * @param recipient the run that ordered the items
     * @param number the number of the order
     * @param outcome the outcome of the order
     * @param callDuration the observed duration of a full call at the pool; empty if it is not known
     */
    record BatchReply(Optional<NodeId> recipient, long number, BatchOutcome outcome, Optional<Duration> callDuration)
            implements Reply {}

    /**
     * Cancels an order of items.
     *
     * @param number the number of the order
     */
    record BatchCancellation(long number) implements ServingMessage {}

    /**
     * The results of requests to the upstreams of a pool with a rollout in progress.
     *
     * @param order the id of the rollout's order
     * @param samples the samples since the last report to the receiver
     */
    record RolloutReport(long order, List<RolloutSample> samples) implements ServingMessage {
        /** Makes a defensive copy of the list. */
        public RolloutReport {
            samples = List.copyOf(samples);
        }
    }

    /**
     * Streams have begun at the sender, or their origins have been corrected.
     *
     * @param origins where they began
     */
    record StreamsBegan(List<StreamOrigin> origins) implements ServingMessage {
        /** Makes a defensive copy of the list. */
        public StreamsBegan {
            origins = List.copyOf(origins);
        }
    }

    /**
     * Asks where streams began.
     *
     * @param streams the ids of the requests that brought their first events
     */
    record StreamQuery(List<RequestId> streams) implements ServingMessage {
        /** Makes a defensive copy of the list. */
        public StreamQuery {
            streams = List.copyOf(streams);
        }
    }

    /**
     * The response to {@link StreamQuery}; streams of which the sender may still learn are omitted.
     *
     * @param known where streams began
     * @param unknown the streams that the sender does not know
     */
    record StreamReply(List<StreamOrigin> known, List<RequestId> unknown) implements ServingMessage {
        /** Makes defensive copies of the lists. */
        public StreamReply {
            known = List.copyOf(known);
            unknown = List.copyOf(unknown);
        }
    }

    /**
     * Releases results that are no longer needed.
     *
     * @param results the results
     */
    record ResultsReleased(List<StepResult> results) implements ServingMessage {}

    /**
     * Asks the scheduler of a pool to reserve capacity for a step that the request will order later. Sent once; a request
     * goes on without an answer.
     *
     * @param number unique within a run of the sender
     * @param request the request that the step belongs to
     * @param step the number of the step
     * @param pool the pool
     * @param items the number of items
     * @param resultBytes the approximate size of one result
     * @param rank the priority rank; 0 is served first
     * @param arrivesIn the expected time until the step is ordered
     * @param targetTimeLeft the time until the latency target of the step; negative once it has passed
     * @param deadlineLeft the time until its deadline
     * @param context what the sender tells about the request
     */
    record ReservationRequest(
            long number,
            RequestId request,
            int step,
            PoolId pool,
            int items,
            long resultBytes,
            int rank,
            Duration arrivesIn,
            Duration targetTimeLeft,
            Duration deadlineLeft,
            OrderContext context)
            implements ServingMessage {}

    /**
     * The response to {@link ReservationRequest}.
     *
     * @param recipient the run that asked for the reservation
     * @param number the number of the reservation
     * @param granted whether the capacity is reserved
     * @param retryAfter the time after which the pool will have capacity; zero if the reservation is granted
     * @param callDuration the observed duration of a full call at the pool; empty if it is not known
     */
    record ReservationReply(
            Optional<NodeId> recipient,
            long number,
            boolean granted,
            Duration retryAfter,
            Optional<Duration> callDuration)
            implements Reply {}

    /**
     * Cancels reservations, and tells of requests that have ended.
     *
     * @param numbers the numbers of the reservations
     */
    record ReservationCancellation(List<Long> numbers) implements ServingMessage {
        /** Makes a defensive copy of the list. */
        public ReservationCancellation {
            numbers = List.copyOf(numbers);
        }
    }

    /**
     * Asks the node that assigns the engines of a pool for the engine of a request.
     *
     * @param number unique within a run of the sender
     * @param request the request
     * @param pool the pool
     * @param segments the segments of its prompt that other requests may share, in order
     * @param promptTokens the length of the whole prompt
     * @param outputTokens the maximum number of tokens of the answer; 0 if unknown
     * @param rank the priority rank; 0 is served first
     * @param inputsDomain the failure domain that holds most of its inputs
     * @param inputBytes the size of its inputs
     * @param excluded the engines that must not get it
     * @param deadlineLeft the time until its deadline
     */
    record AssignmentRequest(
            long number,
            RequestId request,
            PoolId pool,
            List<PrefixSegment> segments,
            int promptTokens,
            int outputTokens,
            int rank,
            Optional<DomainId> inputsDomain,
            long inputBytes,
            Set<VmId> excluded,
            Duration deadlineLeft)
            implements ServingMessage {
        /** Makes defensive copies of the collections. */
        public AssignmentRequest {
            segments = List.copyOf(segments);
            excluded = Set.copyOf(excluded);
        }
    }

    /**
     * The response to {@link AssignmentRequest}.
     *
     * @param recipient the run that asked
     * @param number the number of the request
     * @param engines the engines in order of preference; empty if the sender knows none
     */
    record AssignmentReply(Optional<NodeId> recipient, long number, List<VmId> engines) implements Reply {
        /** Makes a defensive copy of the list. */
        public AssignmentReply {
            engines = List.copyOf(engines);
        }
    }

    /**
     * Tells the node that assigns the engines of a pool what became of attempts.
     *
     * @param pool the pool
     * @param attempts the attempts, in the order of the changes
     */
    record AssignmentUpdate(PoolId pool, List<AttemptReport> attempts) implements ServingMessage {
        /** Makes a defensive copy of the list. */
        public AssignmentUpdate {
            attempts = List.copyOf(attempts);
        }
    }
}
