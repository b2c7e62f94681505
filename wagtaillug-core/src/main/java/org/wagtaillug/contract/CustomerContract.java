package org.wagtaillug.contract;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.TemplateId;

/**
 * One customer's parameters.
 *
 * @param id which customer
 * @param share its weight when capacity is short, above 0; a customer of share 2 gets twice that of one of share 1
 * @param parameters what it set for single templates; a template that is missing here has the template's own values
 */
public record CustomerContract(CustomerId id, double share, Map<TemplateId, Parameters> parameters) implements Body {
    /** Takes its own copy of the parameters. */
    public CustomerContract {
        parameters = Map.copyOf(parameters);
    }

    /**
     * What a customer set for one template.
     *
     * @param deadline the most time that its requests may take
     * @param worth what one request served in time is worth
     * @param idempotent whether a second run does no harm
     */
    public record Parameters(Optional<Duration> deadline, Optional<Double> worth, Optional<Boolean> idempotent) {}

    /** The deadline for a template. */
    public Duration deadlineOf(Template template) {
        Parameters own = parameters.get(template.id());
        return own == null ? template.deadline() : own.deadline().orElse(template.deadline());
    }

    /** The worth of one request of a template. */
    public double worthOf(Template template) {
        Parameters own = parameters.get(template.id());
        return own == null ? template.worth() : own.worth().orElse(template.worth());
    }

    /** Whether a second run of a template's request does no harm. Both must say so: the stricter one counts. */
    public boolean idempotent(Template template) {
        Parameters own = parameters.get(template.id());
        return template.idempotent() && (own == null || own.idempotent().orElse(true));
    }
}
