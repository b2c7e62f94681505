package org.wagtaillug.dispatch;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.admission.Admission;
import org.wagtaillug.configuration.Configuration;
import org.wagtaillug.configuration.Configuration.VersionedTemplate;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.drain.Drain;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.routing.RoutingPolicy;
import org.wagtaillug.routing.Upstreams;

/** Validates requests on arrival and decides whether to admit them, and with which deadline and worth. */
final class RequestAdmission {
    /** The minimum retry-after time sent to callers. */
    static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofSeconds(1);

    private final Configuration configuration;
    private final Upstreams upstreams;
    private final RoutingPolicy policy;
    private final Admission admission;
    private final LatencyEstimates estimates;
    private final Drain drain;

    RequestAdmission(
            Configuration configuration,
            Upstreams upstreams,
            RoutingPolicy policy,
            Admission admission,
            LatencyEstimates estimates,
            Drain drain) {
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.policy = policy;
        this.admission = admission;
        this.estimates = estimates;
        this.drain = drain;
    }

    /**
     * A request that was not admitted.
     *
     * @param templateVersion the configuration offset of its template; 0 if the template is unknown
     * @param refusal the reason
     */
    record Refused(long templateVersion, Refusal refusal) {}

    /**
     * Admits a request or returns the reason for refusing it. Does not yet count the request against the limits.
     *
     * @param queues the queue length of each pool
     */
    Either<Refused, RequestFlow> admit(Request request, QueueLengths queues, Instant now) {
        Optional<VersionedTemplate> template = configuration.template(request.template());
        if (template.isEmpty()) {
            String hint = SpellingHint.didYouMean(request.template().value(), configuration.templates());
            return refuse(
                    0, ResultCode.UNKNOWN_TEMPLATE, "template \"" + request.template() + "\" is not in force" + hint);
        }
        long version = template.get().version();
        Optional<CustomerContract> customer = configuration.customer(request.customer());
        if (customer.isEmpty()) {
            String hint = SpellingHint.didYouMean(request.customer().value(), configuration.customers());
            return refuse(
                    version,
                    ResultCode.UNKNOWN_CUSTOMER,
                    "customer \"" + request.customer() + "\" is not in force" + hint);
        }
        RequestFlow.Terms terms = resolveTerms(request, template.get(), customer.get(), now);
        if (!terms.deadline().isAfter(now)) {
            return refuse(version, ResultCode.DEADLINE_PASSED, "the deadline had passed on arrival");
        }
        if (!terms.idempotent() && request.key().isEmpty()) {
            return refuse(
                    version,
                    ResultCode.KEY_MISSING,
                    "template \"" + request.template() + "\" is not idempotent; expected an Idempotency-Key");
        }
        RequestFlow flow = new RequestFlow(request, template.get(), terms, now);
        // The request may run until its deadline, and the process may have exited by then.
        if (!drain.hasTimeFor(flow.remainingTime(now), now)) {
            return refuse(
                    flow,
                    ResultCode.SHUTTING_DOWN,
                    MIN_RETRY_AFTER,
                    "the node is shutting down and may exit before the deadline; retry on another node");
        }
        return checkCapacity(flow, customer.get(), queues, now);
    }

    /** Provides the queue lengths of pools. */
    interface QueueLengths {
        /** The number of requests that wait for an upstream of a pool. */
        int of(PoolId pool);
    }

    private static RequestFlow.Terms resolveTerms(
            Request request, VersionedTemplate versioned, CustomerContract customer, Instant now) {
        Instant latest = now.plus(customer.deadlineOf(versioned.template()));
        Instant deadline =
                request.deadline().filter(own -> own.isBefore(latest)).orElse(latest);
        double worth = customer.worthOf(versioned.template());
        return new RequestFlow.Terms(deadline, worth, customer.idempotent(versioned.template()));
    }

    private Either<Refused, RequestFlow> checkCapacity(
            RequestFlow flow, CustomerContract customer, QueueLengths queues, Instant now) {
        if (upstreams.inPool(flow.stage().pool()).isEmpty()) {
            return refuse(
                    flow,
                    ResultCode.NO_UPSTREAM,
                    NO_UPSTREAM_RETRY_AFTER,
                    "no upstream of pool \"" + flow.stage().pool() + "\" is in service");
        }
        Duration delay =
                estimates.queueDelay(flow.stage().pool(), queues.of(flow.stage().pool()), now);
        Duration retryAfter = delay.compareTo(MIN_RETRY_AFTER) > 0 ? delay : MIN_RETRY_AFTER;
        if (policy.refusesEarly() && estimates.willMissDeadline(flow, delay, now)) {
            long left = Duration.between(now, flow.deadline()).toMillis();
            return refuse(
                    flow,
                    ResultCode.DEADLINE_CANNOT_BE_MET,
                    retryAfter,
                    "the expected processing time is longer than the " + left + " ms left until the deadline");
        }
        Option<ResultCode> obstacle = admission.refusalReason(customer.id(), customer.share());
        if (obstacle.isDefined()) {
            return refuse(flow, obstacle.get(), retryAfter, admission.total() + " requests are in flight on this node");
        }
        return Either.right(flow);
    }

    private static Either<Refused, RequestFlow> refuse(long version, ResultCode code, String message) {
        return Either.left(new Refused(version, Refusal.notRun(code, Duration.ZERO, message)));
    }

    private static Either<Refused, RequestFlow> refuse(
            RequestFlow flow, ResultCode code, Duration retryAfter, String message) {
        return Either.left(new Refused(flow.template().version(), Refusal.notRun(code, retryAfter, message)));
    }
}
