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

/** Decides whether a request is taken at all, and on which terms. */
final class Intake {
    /** The shortest time after which it is worth asking again. */
    static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(200);

    private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofSeconds(1);

    private final Configuration configuration;
    private final Upstreams upstreams;
    private final RoutingPolicy policy;
    private final Admission admission;
    private final Estimates estimates;
    private final Drain drain;

    Intake(
            Configuration configuration,
            Upstreams upstreams,
            RoutingPolicy policy,
            Admission admission,
            Estimates estimates,
            Drain drain) {
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.policy = policy;
        this.admission = admission;
        this.estimates = estimates;
        this.drain = drain;
    }

    /**
     * A request that is not taken.
     *
     * @param templateVersion the offset of its template; 0 if none was found
     * @param refusal why
     */
    record Refused(long templateVersion, Refusal refusal) {}

    /**
     * Admits a request or says why not. Nothing is counted yet.
     *
     * @param waiting how many requests wait for each pool
     */
    Either<Refused, RequestFlow> admit(Request request, Waiting waiting, Instant now) {
        Optional<VersionedTemplate> template = configuration.template(request.template());
        if (template.isEmpty()) {
            String hint = Nearest.hint(request.template().value(), configuration.templates());
            return refuse(
                    0, ResultCode.UNKNOWN_TEMPLATE, "template \"" + request.template() + "\" is not in force" + hint);
        }
        long version = template.get().version();
        Optional<CustomerContract> customer = configuration.customer(request.customer());
        if (customer.isEmpty()) {
            String hint = Nearest.hint(request.customer().value(), configuration.customers());
            return refuse(
                    version,
                    ResultCode.UNKNOWN_CUSTOMER,
                    "customer \"" + request.customer() + "\" is not in force" + hint);
        }
        RequestFlow.Terms terms = terms(request, template.get(), customer.get(), now);
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
        // Until its deadline it may run, and the process may be gone by then.
        if (!drain.enoughFor(flow.timeLeft(now), now)) {
            return refuse(
                    flow,
                    ResultCode.SHUTTING_DOWN,
                    SHORTEST_RETRY_AFTER,
                    "the node is shutting down, maybe before the deadline; ask another");
        }
        return room(flow, customer.get(), waiting, now);
    }

    /** Tells how many requests wait for a pool. */
    interface Waiting {
        /** The number for one pool. */
        int at(PoolId pool);
    }

    private static RequestFlow.Terms terms(
            Request request, VersionedTemplate versioned, CustomerContract customer, Instant now) {
        Instant agreed = now.plus(customer.deadlineOf(versioned.template()));
        Instant deadline =
                request.deadline().filter(own -> own.isBefore(agreed)).orElse(agreed);
        double worth = customer.worthOf(versioned.template());
        return new RequestFlow.Terms(deadline, worth, customer.idempotent(versioned.template()));
    }

    private Either<Refused, RequestFlow> room(
            RequestFlow flow, CustomerContract customer, Waiting waiting, Instant now) {
        if (upstreams.inPool(flow.stage().pool()).isEmpty()) {
            return refuse(
                    flow,
                    ResultCode.NO_UPSTREAM,
                    NO_UPSTREAM_RETRY_AFTER,
                    "no upstream of pool \"" + flow.stage().pool() + "\" is in service");
        }
        Duration wait =
                estimates.wait(flow.stage().pool(), waiting.at(flow.stage().pool()), now);
        Duration retryAfter = wait.compareTo(SHORTEST_RETRY_AFTER) > 0 ? wait : SHORTEST_RETRY_AFTER;
        if (policy.refusesEarly() && estimates.hopeless(flow, wait, now)) {
            long left = Duration.between(now, flow.deadline()).toMillis();
            return refuse(
                    flow,
                    ResultCode.DEADLINE_CANNOT_BE_MET,
                    retryAfter,
                    "the work takes longer than the " + left + " ms to the deadline");
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
