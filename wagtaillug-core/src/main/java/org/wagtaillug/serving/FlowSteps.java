package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.batch.BatchOrder;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.batch.OrderContext;
import org.wagtaillug.batch.OrderId;
import org.wagtaillug.batch.StepResult;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.StepDurations;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;

/** The steps of the requests in progress: their orders, and the release of results that are no longer needed. */
final class FlowSteps {
    /** Below one megabyte a transfer between failure domains costs less than waiting for a nearer server. */
    private static final long NEARNESS_THRESHOLD_BYTES = 1_000_000;

    private final UpstreamDirectory directory;
    private final StepOrders orders;
    private final StepTimes times;
    private final StepDurations durations = new StepDurations();
    private final BranchTiming branches = new BranchTiming(durations);
    private final StepArrivals arrivals;
    private final PolicyFeatures features;
    private final Map<RequestId, List<Long>> orderNumbers = new HashMap<>();
    private final Map<RequestId, Map<Integer, VmId>> schedulers = new HashMap<>();
    private final LikelyUpstream likelyUpstream;
    private final ReservationExchange reservations;
    private final Refusals refusals;
    private ServingConfiguration configuration;

    /** Predicts the upstream of a request. */
    interface LikelyUpstream {
        /** The failure domain of the upstream that would be chosen now; empty if no upstream is available. */
        Optional<DomainId> expectedDomain(Flow flow, Instant now);
    }

    /** Ends requests that can't be served. */
    interface Refusals {
        /** Refuses a request, as not run if no upstream has received it. */
        void refuse(Flow flow, ResultCode code, Duration retryAfter, String message, Instant now);
    }

    FlowSteps(
            UpstreamDirectory directory,
            StepOrders orders,
            StepTimes times,
            LikelyUpstream likelyUpstream,
            ReservationExchange reservations,
            Refusals refusals,
            PolicyFeatures features) {
        this.likelyUpstream = likelyUpstream;
        this.reservations = reservations;
        this.refusals = refusals;
        this.directory = directory;
        this.orders = orders;
        this.arrivals = new StepArrivals(durations, orders);
        this.times = times;
        this.features = features;
    }

    /** Sets the configuration for steps that are ordered from now on. */
    void configure(ServingConfiguration latest) {
        configuration = latest;
    }

    /** Returns the steps to order now; refuses the request if a pool on its path has no capacity for it. */
    List<Step> due(Flow flow, Instant now) {
        if (!admitted(flow, now)) {
            return List.of();
        }
        List<Step> due = new ArrayList<>();
        for (Step step : flow.readySteps()) {
            if (!features.uses(PolicyFeature.TIMELY_BRANCHES) || branches.startsNow(flow, step, now)) {
                due.add(step);
            }
        }
        return due;
    }

    private boolean admitted(Flow flow, Instant now) {
        return switch (reservations.admission(flow, configuration, timing(flow, now), now)) {
            case ReservationExchange.Admission.Admitted ignored -> true;
            case ReservationExchange.Admission.Awaited ignored -> false;
            case ReservationExchange.Admission.Refused refused -> {
                String message = "pool \"" + refused.pool() + "\" has no capacity in time";
                refusals.refuse(flow, ResultCode.STEP_OVERLOADED, refused.retryAfter(), message, now);
                yield false;
            }
        };
    }

    private ReservationExchange.Timing timing(Flow flow, Instant now) {
        return new ReservationExchange.Timing() {
            @Override
            public Duration until(Step step) {
                return arrivals.until(flow, step, configuration, now);
            }

            @Override
            public BatchOrder.Urgency urgency(Step step) {
                return times.urgency(flow, step, configuration, now);
            }
        };
    }

    /** The expected waiting time of an order with this rank at a pool. */
    Duration queueDelayOf(PoolId pool, int rank, Instant now) {
        return orders.queueDelayOf(pool, rank, now);
    }

    /** Orders the items of a step. Returns false if its pool accepts no items. */
    boolean order(Flow flow, Step step, Instant now) {
        Optional<BatchContract> contract = configuration.pool(step.pool()).flatMap(PoolProfile::items);
        if (contract.isEmpty()) {
            return false;
        }
        flow.recordOrder(step, now);
        OrderId id = orders.nextId();
        orderNumbers
                .computeIfAbsent(flow.request().id(), any -> new ArrayList<>())
                .add(id.number());
        List<String> inputs = flow.inputHandles(step);
        orders.order(
                new BatchOrder(
                        id,
                        flow.request().id(),
                        step.number(),
                        step.pool(),
                        flow.request().itemsOf(step.number()),
                        inputs.isEmpty() ? flow.request().itemKey() : Optional.empty(),
                        inputs,
                        step.resultBytes(),
                        preferredDomain(flow, step, now),
                        times.urgency(flow, step, configuration, now),
                        OrderContext.NONE),
                contract.get(),
                now);
        reservations.onOrdered(flow, step, now);
        return true;
    }

    /** The preferred failure domain for a step: near its inputs, or near the upstream that fetches its results. */
    private Optional<DomainId> preferredDomain(Flow flow, Step step, Instant now) {
        if (!features.uses(PolicyFeature.NEARNESS)) {
            return Optional.empty();
        }
        if (flow.estimatedInputBytes(step) >= NEARNESS_THRESHOLD_BYTES) {
            return domainOf(flow.inputResults(step));
        }
        boolean large = flow.estimatedResultBytes(step) >= NEARNESS_THRESHOLD_BYTES && flow.isFinal(step);
        return large ? likelyUpstream.expectedDomain(flow, now) : Optional.empty();
    }

    /** The failure domain that holds most of the given results. */
    Optional<DomainId> domainOf(List<StepResult> results) {
        Map<DomainId, Integer> counts = new HashMap<>();
        for (StepResult result : results) {
            directory.find(result.server()).ifPresent(server -> counts.merge(server.domain(), 1, Integer::sum));
        }
        return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
    }

    /** Whether the request of an order still waits for it. */
    boolean expects(BatchOrder order) {
        return orderNumbers
                .getOrDefault(order.request(), List.of())
                .contains(order.id().number());
    }

    /** Records the results of a step and releases the results that no other step needs. */
    void onStepCompleted(Flow flow, StepOrders.Answer answer, List<StepResult> results) {
        int step = answer.order().step();
        schedulers.computeIfAbsent(flow.request().id(), id -> new HashMap<>()).put(step, answer.scheduler());
        durations.onCompleted(flow.route().id(), step, answer.took());
        flow.complete(step, results, answer.took());
        release(flow, flow.releasableAfter(flow.route().steps().get(step)));
    }

    /** Releases the results of an order whose request has ended. */
    void releaseUnwanted(StepOrders.Answer answer) {
        if (answer.outcome() instanceof BatchOutcome.Made made) {
            orders.release(answer.scheduler(), made.results());
        }
    }

    /** Releases all results of a request. Returns how many had not been released before. */
    int releaseAll(Flow flow) {
        List<StepResult> unreleased = flow.releaseAll();
        release(flow, unreleased);
        return unreleased.size();
    }

    /** Withdraws the orders of a request and releases its results. */
    void endRequest(Flow flow, Instant now) {
        withdraw(flow, now);
        reservations.endRequest(flow.request().id());
        releaseAll(flow);
        schedulers.remove(flow.request().id());
    }

    /** Tells the nodes that schedule the steps and track the room of their results; they may differ between steps. */
    private void release(Flow flow, List<StepResult> results) {
        if (results.isEmpty()) {
            return;
        }
        Map<Integer, VmId> byStep = schedulers.getOrDefault(flow.request().id(), Map.of());
        Map<VmId, List<StepResult>> byScheduler = new HashMap<>();
        for (StepResult result : results) {
            VmId scheduler = byStep.get(flow.stepOf(result));
            if (scheduler != null) {
                byScheduler.computeIfAbsent(scheduler, any -> new ArrayList<>()).add(result);
            }
        }
        byScheduler.forEach(orders::release);
    }

    private void withdraw(Flow flow, Instant now) {
        List<Long> numbers = orderNumbers.remove(flow.request().id());
        if (numbers != null) {
            orders.withdraw(numbers, now);
        }
    }
}
