package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.wagtaillug.batch.BatchOrder;
import org.wagtaillug.batch.OrderContext;
import org.wagtaillug.batch.OrderId;
import org.wagtaillug.batch.Reservation;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.peer.Peers;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;

/**
 * Reservations for the later steps of requests: those that this node asks for, and those that it grants for the pools that it
 * schedules.
 *
 * <p>Any message may be lost. A request goes on without an answer, and what a scheduler has reserved in vain expires there.
 */
final class ReservationExchange {
    /** How long a request waits for answers: several round trips between nodes, and short beside any latency target. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(60);

    /** A scheduler that has not answered this many requests in a row is not asked for a while. */
    private static final int MAX_TIMEOUTS = 3;

    private static final Duration TIMEOUT_PAUSE = Duration.ofSeconds(1);

    private final NodeId self;
    private final ContentionSwitch contention;
    private final Peers peers;
    private final StepOrders orders;
    private final Consumer<ServingEffect> effects;
    private final Map<RequestId, Asked> asked = new HashMap<>();
    private final Map<Long, RequestId> requests = new HashMap<>();
    private final Map<VmId, Silence> silences = new HashMap<>();
    private long lastNumber;

    /** Whether a request may order its first step. */
    sealed interface Admission {
        /** It may. */
        record Admitted() implements Admission {}

        /** Schedulers have not answered yet. */
        record Awaited() implements Admission {}

        /** A pool on its path has no capacity for it in time. */
        record Refused(PoolId pool, Duration retryAfter) implements Admission {}
    }

    /** Estimates when a step will be ordered, and by when it has to be completed. */
    interface Timing {
        Duration until(Step step);

        BatchOrder.Urgency urgency(Step step);
    }

    private enum State {
        ASKED,
        GRANTED,
        REFUSED
    }

    private static final class Ask {
        private final long number;
        private final Step step;
        private final VmId scheduler;
        private State state = State.ASKED;
        private Duration retryAfter = Duration.ZERO;

        private Ask(long number, Step step, VmId scheduler) {
            this.number = number;
            this.step = step;
            this.scheduler = scheduler;
        }
    }

    private static final class Asked {
        private final Instant until;
        private final List<Ask> asks = new ArrayList<>();
        private boolean decided;

        private Asked(Instant until) {
            this.until = until;
        }
    }

    private static final class Silence {
        private int timeouts;
        private Instant until = Instant.EPOCH;
    }

    ReservationExchange(
            NodeId self, ContentionSwitch contention, Peers peers, StepOrders orders, Consumer<ServingEffect> effects) {
        this.self = self;
        this.lastNumber = self.messageNumberBase();
        this.contention = contention;
        this.peers = peers;
        this.orders = orders;
        this.effects = effects;
    }

    /** Decides whether a request may order its first step; asks the schedulers of its later steps when called first. */
    Admission admission(Flow flow, ServingConfiguration configuration, Timing timing, Instant now) {
        RequestId id = flow.request().id();
        Asked known = asked.get(id);
        if (known == null) {
            if (!contention.uses(PolicyFeature.PATH_RESERVATIONS) || flow.ordered()) {
                return new Admission.Admitted();
            }
            known = new Asked(now.plus(ANSWER_TIMEOUT));
            asked.put(id, known);
            ask(flow, known, configuration, timing, now);
        }
        return decide(known, now);
    }

    private void ask(Flow flow, Asked entry, ServingConfiguration configuration, Timing timing, Instant now) {
        Set<PoolId> pools = new HashSet<>();
        flow.steps().forEach(step -> pools.add(step.pool()));
        if (pools.size() < 2) {
            return;
        }
        List<Step> ready = flow.readySteps();
        for (Step step : flow.steps()) {
            Optional<BatchContract> contract = configuration.pool(step.pool()).flatMap(PoolProfile::items);
            VmId scheduler = orders.schedulerOf(step.pool(), now);
            if (!ready.contains(step) && contract.isPresent() && mayAsk(scheduler, now)) {
                lastNumber++;
                Ask ask = new Ask(lastNumber, step, scheduler);
                entry.asks.add(ask);
                Reservation wanted = new Reservation(
                        new OrderId(self, lastNumber),
                        flow.request().id(),
                        step.number(),
                        step.pool(),
                        flow.request().itemsOf(step.number()),
                        step.resultBytes(),
                        timing.urgency(step),
                        now.plus(timing.until(step)));
                send(ask, wanted, flow, contract.get(), now);
            }
        }
    }

    private boolean mayAsk(VmId scheduler, Instant now) {
        if (scheduler.equals(self.vm())) {
            return true;
        }
        Silence silence = silences.get(scheduler);
        return peers.supportsContention(scheduler) && (silence == null || !now.isBefore(silence.until));
    }

    private void send(Ask ask, Reservation wanted, Flow flow, BatchContract contract, Instant now) {
        if (ask.scheduler.equals(self.vm())) {
            Reservation.Answer answer = orders.scheduler().onReservation(wanted, contract, now);
            ask.state = answer.granted() ? State.GRANTED : State.REFUSED;
            ask.retryAfter = answer.retryAfter();
            return;
        }
        requests.put(ask.number, wanted.request());
        effects.accept(new ServingEffect.SendToPeer(
                ask.scheduler,
                new ServingMessage.ReservationRequest(
                        ask.number,
                        wanted.request(),
                        wanted.step(),
                        wanted.pool(),
                        wanted.items(),
                        wanted.resultBytes(),
                        wanted.urgency().rank(),
                        Duration.between(now, wanted.arrivesAt()),
                        Duration.between(now, wanted.urgency().targetTime()),
                        Duration.between(now, wanted.urgency().deadline()),
                        new OrderContext(flow.customer(), Optional.empty(), 0))));
    }

    private Admission decide(Asked entry, Instant now) {
        if (entry.decided) {
            return new Admission.Admitted();
        }
        Optional<Admission.Refused> refusal = refusal(entry);
        if (refusal.isPresent()) {
            entry.decided = true;
            return refusal.get();
        }
        Set<VmId> silent = new HashSet<>();
        for (Ask ask : entry.asks) {
            if (ask.state == State.ASKED) {
                silent.add(ask.scheduler);
            }
        }
        if (!silent.isEmpty() && now.isBefore(entry.until)) {
            return new Admission.Awaited();
        }
        silent.forEach(scheduler -> onTimeout(scheduler, now));
        entry.decided = true;
        return new Admission.Admitted();
    }

    private static Optional<Admission.Refused> refusal(Asked entry) {
        Optional<Admission.Refused> longest = Optional.empty();
        for (Ask ask : entry.asks) {
            boolean longer =
                    longest.isEmpty() || ask.retryAfter.compareTo(longest.get().retryAfter()) > 0;
            if (ask.state == State.REFUSED && longer) {
                longest = Optional.of(new Admission.Refused(ask.step.pool(), ask.retryAfter));
            }
        }
        return longest;
    }

    private void onTimeout(VmId scheduler, Instant now) {
        Silence silence = silences.computeIfAbsent(scheduler, any -> new Silence());
        silence.timeouts++;
        if (silence.timeouts >= MAX_TIMEOUTS) {
            silence.until = now.plus(TIMEOUT_PAUSE);
        }
    }

    /** Processes the answer of a scheduler. Returns the request that waits for it; empty if none does. */
    Optional<RequestId> onReply(VmId scheduler, ServingMessage.ReservationReply reply, Instant now) {
        silences.remove(scheduler);
        RequestId request = requests.remove(reply.number());
        Asked entry = request == null ? null : asked.get(request);
        if (entry == null) {
            return Optional.empty();
        }
        for (Ask ask : entry.asks) {
            if (ask.number == reply.number()) {
                orders.calls().onReported(ask.step.pool(), reply.callDuration(), now);
                ask.state = reply.granted() ? State.GRANTED : State.REFUSED;
                ask.retryAfter = reply.retryAfter();
            }
        }
        return entry.decided ? Optional.empty() : Optional.of(request);
    }

    /** A step was ordered, which ends its reservation at the scheduler that gets the order. */
    void onOrdered(Flow flow, Step step, Instant now) {
        Asked entry = asked.get(flow.request().id());
        if (entry == null) {
            return;
        }
        for (Ask ask : List.copyOf(entry.asks)) {
            if (ask.step.number() == step.number()) {
                entry.asks.remove(ask);
                if (!ask.scheduler.equals(orders.schedulerOf(step.pool(), now))) {
                    cancel(List.of(ask));
                }
                requests.remove(ask.number);
            }
        }
    }

    /** Cancels the reservations of a request that has ended. */
    void endRequest(RequestId request) {
        Asked entry = asked.remove(request);
        if (entry != null) {
            entry.asks.removeIf(ask -> ask.state == State.REFUSED);
            cancel(entry.asks);
        }
    }

    private void cancel(List<Ask> asks) {
        Map<VmId, List<Long>> numbers = new HashMap<>();
        for (Ask ask : asks) {
            requests.remove(ask.number);
            numbers.computeIfAbsent(ask.scheduler, any -> new ArrayList<>()).add(ask.number);
        }
        numbers.forEach((scheduler, cancelled) -> {
            if (scheduler.equals(self.vm())) {
                cancelled.forEach(number -> orders.scheduler().onReservationCancelled(new OrderId(self, number)));
            } else {
                effects.accept(
                        new ServingEffect.SendToPeer(scheduler, new ServingMessage.ReservationCancellation(cancelled)));
            }
        });
    }

    /** Answers another node that asks for a reservation. A node that does not use the feature gives no answer. */
    void onRequest(NodeId sender, ServingMessage.ReservationRequest request, BatchContract contract, Instant now) {
        if (!contention.uses(PolicyFeature.PATH_RESERVATIONS)) {
            return;
        }
        Reservation wanted = new Reservation(
                new OrderId(sender, request.number()),
                request.request(),
                request.step(),
                request.pool(),
                request.items(),
                request.resultBytes(),
                new BatchOrder.Urgency(
                        request.rank(), now.plus(request.targetTimeLeft()), now.plus(request.deadlineLeft())),
                now.plus(request.arrivesIn()));
        Reservation.Answer answer = orders.scheduler().onReservation(wanted, contract, now);
        effects.accept(new ServingEffect.SendToPeer(
                sender.vm(),
                new ServingMessage.ReservationReply(
                        Optional.of(sender),
                        request.number(),
                        answer.granted(),
                        answer.retryAfter(),
                        orders.scheduler().fullCallDuration(request.pool()))));
    }

    /** Cancels reservations of another node. */
    void onCancellation(NodeId sender, ServingMessage.ReservationCancellation cancellation) {
        cancellation.numbers().forEach(number -> orders.scheduler()
                .onReservationCancelled(new OrderId(sender, number)));
    }

    /** Whether a request waits for answers, so that ticks must be frequent. */
    boolean awaited() {
        return !requests.isEmpty() && asked.values().stream().anyMatch(entry -> !entry.decided);
    }
}
