package org.wagtaillug.configuration;

import java.util.Collection;
import java.util.Optional;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.membership.Vm;

/** The configuration in force at this node, as used by the components that decide about traffic. */
public interface Configuration {
    /**
     * A template and its version.
     *
     * @param version the offset of the change that set it
     * @param template the template
     */
    record VersionedTemplate(long version, Template template) {}

    /** The template with this id, if one is in force. */
    Optional<VersionedTemplate> template(TemplateId id);

    /** The ids of all templates in force, for error messages. */
    Collection<TemplateId> templates();

    /** The contract of a customer, if the customer is known. */
    Optional<CustomerContract> customer(CustomerId id);

    /** The ids of all customers in force, for error messages. */
    Collection<CustomerId> customers();

    /** The contract of a pool; {@link PoolContract#unspecified} if operators have not set one. */
    PoolContract pool(PoolId id);

    /** The models that should be loaded and their numbers of copies. */
    Collection<PlacementContract> placements();

    /**
     * Whether a VM may get new work: neither the VM nor its failure domain has been taken out of service by operators.
     */
    boolean inService(Vm vm);

    /** The offset of the last control stream record that has been applied. */
    long through();
}
