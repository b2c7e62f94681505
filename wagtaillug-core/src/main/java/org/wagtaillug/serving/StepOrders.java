package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.route.BatchContract;

/**
 * Orders of pieces: this node's own, wherever their pool's calls are filled, and those of others that are filled here.
 *
 * <p>A message may be lost, and the node that fills a pool's calls may die with all that it was told. An order is said
 * again while nothing is heard, to whichever node fills then; the filling node knows an order that it has heard before.
 */
final class StepOrders {
    /** Above the usual time of a full call, so that most orders are sent once. */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(600);

    /** Answered orders that are remembered to recognise a duplicate answer. */
    private static final int MAX_REMEMBERED_ANSWERS = 4096;

    private final NodeId self;
    private final boolean sharesScheduling;
    private final Peers peers;
    private final Consumer<ServingEffect> effects;
    private final BooleanSupplier takesWork;
    private final BatchScheduler scheduler;
    private final Map<Long, Outstanding> outstanding = new HashMap<>();
    private final Map<Long, VmId> taken = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, VmId> eldest) {
            return size() > MAX_REMEMBERED_ANSWERS;
        }
    };
    private Consumer<Answer> answers = answer -> {};
    private long lastNumber;

    /**
     * What became of one of this node's own orders.
     *
     * @param order which
     * @param outcome what
     * @param scheduler the node that filled it
     * @param took the time since it was ordered
     */
    record Answer(BatchOrder order, BatchOutcome outcome, VmId scheduler, Duration took) {}

    private static final class Outstanding {
        private final BatchOrder order;
        private final BatchContract contract;
        private final Instant orderedAt;
        private VmId scheduler;
        private Instant resendAt = Instant.EPOCH;

        private Outstanding(BatchOrder order, BatchContract contract, VmId scheduler, Instant orderedAt) {
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
            Consumer<ServingEffect> effects,
            BooleanSupplier takesWork) {
        this.self = setup.self();
        this.sharesScheduling = setup.features().uses(PolicyFeature.SHARED_FILLING);
        this.peers = peers;
        this.effects = effects;
        this.takesWork = takesWork;
        this.scheduler = new BatchScheduler(directory, new SchedulerOutput(), setup.features(), gate);
    }

    /** Sets who hears what became of this node's orders. */
    void onAnswer(Consumer<Answer> receiver) {
        answers = receiver;
    }

    BatchScheduler scheduler() {
        return scheduler;
    }

    /** A number for a new order. */
    OrderId nextId() {
        lastNumber++;
        return new OrderId(self, lastNumber);
    }

    void order(BatchOrder order, BatchContract contract, Instant now) {
        Outstanding one = new Outstanding(order, contract, holder(order.pool(), now), now);
        outstanding.put(order.id().number(), one);
        send(one, now);
    }

    /** How long an order of a rank is likely to wait for a pool, as the node that fills its calls has said. */
    Duration waitOf(PoolId pool, int rank, Instant now) {
        VmId holder = holder(pool, now);
        return holder.equals(self.vm()) ? scheduler.waitOf(pool, rank, now) : peers.waitOf(holder, pool, rank);
    }

    private VmId holder(PoolId pool, Instant now) {
        return sharesScheduling ? peers.holder(PeerContact.scheduling(pool), takesWork.getAsBoolean(), now) : self.vm();
    }

    private void send(Outstanding one, Instant now) {
        one.resendAt = now.plus(RESEND_INTERVAL);
        if (one.scheduler.equals(self.vm())) {
            scheduler.onOrder(one.order, one.contract, now);
            return;
        }
        BatchOrder order = one.order;
        effects.accept(new ServingEffect.SendToPeer(
                one.scheduler,
                new ServingMessage.PiecesWanted(
                        order.id().number(),
                        order.request(),
                        order.step(),
                        order.pool(),
                        order.pieces(),
                        order.key(),
                        order.inputs(),
                        order.resultBytes(),
                        order.near(),
                        order.urgency().rank(),
                        Duration.between(now, order.urgency().aim()),
                        Duration.between(now, order.urgency().deadline()))));
    }

    /** The request has ended: its orders are not wanted any more. */
    void withdraw(List<Long> numbers, Instant now) {
        for (long number : numbers) {
            Outstanding one = outstanding.remove(number);
            if (one != null) {
                withdraw(one, now);
            }
        }
    }

    private void withdraw(Outstanding one, Instant now) {
        if (one.scheduler.equals(self.vm())) {
            scheduler.onWithdrawn(one.order.id(), now);
            return;
        }
        long number = one.order.id().number();
        effects.accept(new ServingEffect.SendToPeer(one.scheduler, new ServingMessage.PiecesWithdrawn(number)));
    }

    /** Results are not needed any more; the node that fills their pool keeps the account of the room. */
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

    /** Another node orders pieces here. */
    void onWanted(NodeId sender, ServingMessage.PiecesWanted wanted, BatchContract contract, Instant now) {
        BatchOrder.Urgency urgency =
                new BatchOrder.Urgency(wanted.rank(), now.plus(wanted.aimLeft()), now.plus(wanted.deadlineLeft()));
        BatchOrder order = new BatchOrder(
                new OrderId(sender, wanted.number()),
                wanted.request(),
                wanted.step(),
                wanted.pool(),
                wanted.pieces(),
                wanted.key(),
                wanted.inputs(),
                wanted.resultBytes(),
                wanted.near(),
                urgency);
        scheduler.onOrder(order, contract, now);
    }

    /** Another node withdraws an order. */
    void onWithdrawn(NodeId sender, long number, Instant now) {
        scheduler.onWithdrawn(new OrderId(sender, number), now);
    }

    /** The node that fills says what became of an order. */
    void onAnswered(NodeId sender, ServingMessage.PiecesAnswered answered, Instant now) {
        answer(answered.number(), answered.outcome(), sender.vm(), now);
    }

    private void answer(long number, BatchOutcome outcome, VmId schedulerNode, Instant now) {
        Outstanding one = outstanding.remove(number);
        if (one != null) {
            taken.put(number, schedulerNode);
            answers.accept(new Answer(one.order, outcome, schedulerNode, Duration.between(one.orderedAt, now)));
            return;
        }
        // An order that is said again while its answer is on the way is answered twice. Taking the second word for
        // results
        // that nobody wants would release those that the request is about to use, and its next step would find them
        // gone.
        boolean saidAgain = schedulerNode.equals(taken.get(number));
        if (!saidAgain && outcome instanceof BatchOutcome.Made made) {
            // The request has ended meanwhile, or another node made the same pieces.
            release(schedulerNode, made.results());
        }
    }

    /** Says again what was not answered; to another node if another fills now. */
    void onTick(Instant now) {
        for (Outstanding one : List.copyOf(outstanding.values())) {
            VmId holder = holder(one.order.pool(), now);
            if (!holder.equals(one.scheduler) && (!stillThere(one.scheduler, now) || givenBack(one))) {
                one.scheduler = holder;
                one.resendAt = now;
            }
            if (!now.isBefore(one.resendAt)) {
                send(one, now);
            }
        }
        scheduler.onTick(now);
    }

    /** An order stays where it is while its node is there, even if another would get it now: its pieces may be half made. */
    private boolean stillThere(VmId node, Instant now) {
        return node.equals(self.vm()) || peers.up(node, now);
    }

    /**
     * A node that has just started fills the calls of all pools itself, as it knows of no peer. What it has not called by the
     * time when it knows better goes to the node that fills for all; kept here, the calls of several nodes would find the
     * servers full in turn until the last of these orders is done.
     */
    private boolean givenBack(Outstanding one) {
        return one.scheduler.equals(self.vm()) && scheduler.giveBack(one.order.id());
    }

    /** The nodes that have orders of this one. */
    Set<VmId> partners() {
        Set<VmId> partners = new HashSet<>();
        for (Outstanding one : outstanding.values()) {
            partners.add(one.scheduler);
        }
        partners.remove(self.vm());
        return partners;
    }

    /** A peer has started anew: it knows nothing of what it was told. */
    void onPeerRestarted(VmId peer, Instant now) {
        for (Outstanding one : outstanding.values()) {
            if (one.scheduler.equals(peer)) {
                one.resendAt = now;
            }
        }
    }

    boolean idle() {
        return outstanding.isEmpty() && scheduler.idle();
    }

    /** How many of this node's own orders are not answered. */
    int size() {
        return outstanding.size();
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
                    origin.vm(), new ServingMessage.PiecesAnswered(order.id().number(), outcome)));
        }

        @Override
        public void release(long number, Listing maker, List<String> handles) {
            effects.accept(new ServingEffect.ReleaseResults(number, maker, handles));
        }

        @Override
        public void decided(Decision decision) {
            effects.accept(new ServingEffect.LogDecision(decision));
        }
    }
}
