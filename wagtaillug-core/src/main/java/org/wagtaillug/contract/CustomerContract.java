package org.wagtaillug.contract;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.TemplateId;

/**
 * The parameters of one customer.
 *
 * @param id the customer
 * @param share its weight when capacity is scarce, above 0; a customer of share 2 gets twice as much as one of share 1
 * @param parameters its overrides per template; a template without an entry uses its overrides values
 */
public record CustomerContract(CustomerId id, double share, Map<TemplateId, Parameters> parameters) implements Body {
    /** Makes a defensive copy of the parameters. */
    public CustomerContract {
        parameters = Map.copyOf(parameters);
    }

    /**
     * A customer's overrides for one template.
     *
     * @param deadline the maximum duration of its requests
     * @param worth the value of serving one request in time, relative to other requests
     * @param idempotent whether it is safe to run a request more than once
     */
    public record Parameters(Optional<Duration> deadline, Optional<Double> worth, Optional<Boolean> idempotent) {}

    /** The maximum duration of a request of a template. */
    public Duration deadlineOf(Template template) {
        Parameters overrides = parameters.get(template.id());
        return overrides == null ? template.deadline() : overrides.deadline().orElse(template.deadline());
    }

    /** The worth of a request of a template. */
    public double worthOf(Template template) {
        Parameters overrides = parameters.get(template.id());
        return overrides == null ? template.worth() : overrides.worth().orElse(template.worth());
    }

    /**
     * Whether it is safe to run a request of a template more than once: only if neither the template nor the customer
     * declares it non-idempotent.
     */
    public boolean idempotent(Template template) {
        Parameters overrides = parameters.get(template.id());
        return template.idempotent()
                && (overrides == null || overrides.idempotent().orElse(true));
    }
}
