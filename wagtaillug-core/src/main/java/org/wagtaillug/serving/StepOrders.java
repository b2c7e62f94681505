package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.batch.BatchOrder;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.batch.BatchOutput;
import org.wagtaillug.batch.BatchScheduler;
import org.wagtaillug.batch.CallGate;
import org.wagtaillug.batch.OrderId;
import org.wagtaillug.batch.StepResult;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.peer.Peers;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.route.BatchContract;

/**
 * Orders of items: those of this node, whichever node schedules them, and those of other nodes that are scheduled
 * here.
 *
 * <p>A message may be lost, and the node that schedules a pool may fail and lose its state. An order is therefore
 * resent until it is answered, to whichever node schedules the pool at that time; the scheduling node recognises an
 * order that it already has.
 */
final class StepOrders {
    /** Longer than a typical full call, so that most orders are sent once. */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(600);

    /** Number of answered orders that are remembered to recognise duplicate answers. */
    private static final int MAX_REMEMBERED_ANSWERS = 4096;

    private final NodeId self;
    private final boolean sharesScheduling;
    private final Peers peers;
    private final Consumer<ServingEffect> effects;
    private final BooleanSupplier acceptsWork;
    private final BatchScheduler scheduler;
    private final ObservedCalls calls;
    private final Map<Long, PendingOrder> pending = new HashMap<>();
    private final Map<Long, VmId> answeredBy = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, VmId> eldest) {
            return size() > MAX_REMEMBERED_ANSWERS;
        }
    };
    private Consumer<Answer> answers = answer -> {};
    private long lastNumber;

    /**
     * The answer to an order of this node.
     *
     * @param order the order
     * @param outcome its outcome
     * @param scheduler the node that scheduled it
     * @param took time since it was ordered
     */
    record Answer(BatchOrder order, BatchOutcome outcome, VmId scheduler, Duration took) {}

    private static final class PendingOrder {
        private final BatchOrder order;
        private final BatchContract contract;
        private final Instant orderedAt;
        private VmId scheduler;
        private Instant resendAt = Instant.EPOCH;

        private PendingOrder(BatchOrder order, BatchContract contract, VmId scheduler, Instant orderedAt) {
            this.order = order;
            this.contract = contract;
            this.orderedAt = orderedAt;
            this.scheduler = scheduler;
        }
    }

    StepOrders(
            ServingSetup setup,
            Peers peers,
            UpstreamDirectory directory,
            CallGate gate,
            ContentionSwitch contention,
            Consumer<ServingEffect> effects,
            BooleanSupplier acceptsWork) {
        this.self = setup.self();
        this.lastNumber = self.messageNumberBase();
        this.sharesScheduling = setup.features().uses(PolicyFeature.SHARED_FILLING);
        this.peers = peers;
        this.effects = effects;
        this.acceptsWork = acceptsWork;
        this.scheduler = new BatchScheduler(directory, new SchedulerOutput(), setup.features(), gate, contention);
        this.calls = new ObservedCalls(contention, scheduler::fullCallDuration);
    }

    /** Sets the receiver of answers to this node's orders. */
    void onAnswer(Consumer<Answer> receiver) {
        answers = receiver;
    }

    BatchScheduler scheduler() {
        return scheduler;
    }

    /** The durations of calls to the pools, whichever nodes schedule them. */
    ObservedCalls calls() {
        return calls;
    }

    /** Returns a new order id. */
    OrderId nextId() {
        lastNumber++;
        return new OrderId(self, lastNumber);
    }

    void order(BatchOrder order, BatchContract contract, Instant now) {
        PendingOrder entry = new PendingOrder(order, contract, schedulerOf(order.pool(), now), now);
        pending.put(order.id().number(), entry);
        send(entry, now);
    }

    /**
     * The expected waiting time of an order with this rank at a pool, as reported by the node that schedules the
     * pool.
     */
    Duration queueDelayOf(PoolId pool, int rank, Instant now) {
        VmId currentScheduler = schedulerOf(pool, now);
        return currentScheduler.equals(self.vm())
                ? scheduler.queueDelayOf(pool, rank, now)
                : peers.queueDelayOf(currentScheduler, pool, rank);
    }

    /** The node that schedules a pool; its servers are tracked there. */
    VmId schedulerOf(PoolId pool, Instant now) {
        return sharesScheduling
                ? peers.dutyHolder(PeerMembership.scheduling(pool), acceptsWork.getAsBoolean(), now)
                : self.vm();
    }

    private void send(PendingOrder entry, Instant now) {
        entry.resendAt = now.plus(RESEND_INTERVAL);
        if (entry.scheduler.equals(self.vm())) {
            scheduler.onOrder(entry.order, entry.contract, now);
            return;
        }
        BatchOrder order = entry.order;
        effects.accept(new ServingEffect.SendToPeer(
                entry.scheduler,
                new ServingMessage.BatchRequest(
                        order.id().number(),
                        order.request(),
                        order.step(),
                        order.pool(),
                        order.items(),
                        order.key(),
                        order.inputs(),
                        order.resultBytes(),
                        order.inputsDomain(),
                        order.urgency().rank(),
                        Duration.between(now, order.urgency().targetTime()),
                        Duration.between(now, order.urgency().deadline()),
                        order.context())));
    }

    /** Withdraws the orders of a request that has ended. */
    void withdraw(List<Long> numbers, Instant now) {
        for (long number : numbers) {
            PendingOrder entry = pending.remove(number);
            if (entry != null) {
                withdraw(entry, now);
            }
        }
    }

    private void withdraw(PendingOrder entry, Instant now) {
        if (entry.scheduler.equals(self.vm())) {
            scheduler.onWithdrawn(entry.order.id(), now);
            return;
        }
        long number = entry.order.id().number();
        effects.accept(new ServingEffect.SendToPeer(entry.scheduler, new ServingMessage.BatchCancellation(number)));
    }

    /** Releases results at the node that schedules their pool, which tracks the room at stage servers. */
    void release(VmId schedulerNode, List<StepResult> results) {
        if (results.isEmpty()) {
            return;
        }
        if (schedulerNode.equals(self.vm())) {
            scheduler.onReleased(results);
            return;
        }
        effects.accept(new ServingEffect.SendToPeer(schedulerNode, new ServingMessage.ResultsReleased(results)));
    }

    /** Accepts an order of another node, unless that has restarted since it sent it. */
    void onBatchRequest(NodeId sender, ServingMessage.BatchRequest request, BatchContract contract, Instant now) {
        if (peers.ended(sender)) {
            return;
        }
        BatchOrder.Urgency urgency = new BatchOrder.Urgency(
                request.rank(), now.plus(request.targetTimeLeft()), now.plus(request.deadlineLeft()));
        BatchOrder order = new BatchOrder(
                new OrderId(sender, request.number()),
                request.request(),
                request.step(),
                request.pool(),
                request.items(),
                request.key(),
                request.inputs(),
                request.resultBytes(),
                request.inputsDomain(),
                urgency,
                request.context());
        scheduler.onOrder(order, contract, now);
    }

    /** Withdraws an order of another node. */
    void onBatchCancellation(NodeId sender, long number, Instant now) {
        scheduler.onWithdrawn(new OrderId(sender, number), now);
    }

    /** Processes the answer of the scheduling node to an order. */
    void onBatchReply(NodeId sender, ServingMessage.BatchReply reply, Instant now) {
        PendingOrder entry = pending.get(reply.number());
        if (entry != null) {
            calls.onReported(entry.order.pool(), reply.callDuration(), now);
        }
        answer(reply.number(), reply.outcome(), sender.vm(), now);
    }

    /** Releases the results of an order of an earlier run of this node, which nobody needs. */
    void onReplyToEarlierRun(NodeId sender, ServingMessage.BatchReply reply) {
        if (reply.outcome() instanceof BatchOutcome.Made made) {
            release(sender.vm(), made.results());
        }
    }

    private void answer(long number, BatchOutcome outcome, VmId schedulerNode, Instant now) {
        PendingOrder entry = pending.remove(number);
        if (entry != null) {
            answeredBy.put(number, schedulerNode);
            answers.accept(new Answer(entry.order, outcome, schedulerNode, Duration.between(entry.orderedAt, now)));
            return;
        }
        // An order that is resent while its answer is in transit is answered twice. If the second answer were taken
        // for unwanted results, they would be released although the request is about to use them, and its next step
        // would not find them.
        boolean duplicate = schedulerNode.equals(answeredBy.get(number));
        if (!duplicate && outcome instanceof BatchOutcome.Made made) {
            // The request has ended meanwhile, or another node has produced the same items.
            release(schedulerNode, made.results());
        }
    }

    /** Resends unanswered orders, to another node if the pool is scheduled there now. */
    void onTick(Instant now) {
        for (PendingOrder entry : List.copyOf(pending.values())) {
            VmId currentScheduler = schedulerOf(entry.order.pool(), now);
            if (!currentScheduler.equals(entry.scheduler)
                    && (!available(entry.scheduler, now) || returnedByScheduler(entry) || takenBack(entry, now))) {
                entry.scheduler = currentScheduler;
                entry.resendAt = now;
            }
            if (!now.isBefore(entry.resendAt)) {
                send(entry, now);
            }
        }
        scheduler.onTick(now);
    }

    /**
     * Whether a node is up. An order stays with its node while that is up, even if another one schedules the pool
     * now: some of its items may already be in progress.
     */
    private boolean available(VmId node, Instant now) {
        return node.equals(self.vm()) || peers.up(node, now);
    }

    /**
     * Whether the local scheduler gives an order back that it has not called yet. A node that has just started knows
     * no peer and schedules all pools itself. Once it knows better, the orders that it has not called go to the node
     * that schedules for all; if it kept them, several nodes would find each other's servers full in turn until the
     * last of these orders is done.
     */
    private boolean returnedByScheduler(PendingOrder entry) {
        return entry.scheduler.equals(self.vm()) && scheduler.withdrawIfUnstarted(entry.order.id());
    }

    /**
     * Takes an order back from a node that has lost its path to the pool. Whatever that node has in progress cannot be
     * completed there.
     */
    private boolean takenBack(PendingOrder entry, Instant now) {
        if (!peers.reportsUnreachable(entry.scheduler, entry.order.pool())) {
            return false;
        }
        withdraw(entry, now);
        return true;
    }

    /** The other nodes that have orders of this node. */
    Set<VmId> partners() {
        Set<VmId> partners = new HashSet<>();
        for (PendingOrder entry : pending.values()) {
            partners.add(entry.scheduler);
        }
        partners.remove(self.vm());
        return partners;
    }

    /** Resends the orders that a peer has lost by its restart, and withdraws those that its earlier runs placed here. */
    void onPeerRestarted(NodeId peer, Instant now) {
        for (PendingOrder entry : pending.values()) {
            if (entry.scheduler.equals(peer.vm())) {
                entry.resendAt = now;
            }
        }
        scheduler.onOriginRestarted(peer, now);
    }

    boolean idle() {
        return pending.isEmpty() && scheduler.idle();
    }

    /** Returns the number of unanswered orders of this node. */
    int size() {
        return pending.size();
    }

    private final class SchedulerOutput implements BatchOutput {
        @Override
        public void call(BatchCall call) {
            effects.accept(new ServingEffect.CallBatch(call));
        }

        @Override
        public void outcome(BatchOrder order, BatchOutcome outcome, Instant now) {
            NodeId origin = order.id().origin();
            if (origin.equals(self)) {
                answer(order.id().number(), outcome, self.vm(), now);
                return;
            }
            effects.accept(new ServingEffect.SendToPeer(
                    origin.vm(),
                    new ServingMessage.BatchReply(
                            Optional.of(origin),
                            order.id().number(),
                            outcome,
                            scheduler.fullCallDuration(order.pool()))));
        }

        @Override
        public void release(long number, Listing server, List<String> handles) {
            effects.accept(new ServingEffect.ReleaseResults(number, server, handles));
        }

        @Override
        public void logDecision(Decision decision) {
            effects.accept(new ServingEffect.LogDecision(decision));
        }
    }
}
