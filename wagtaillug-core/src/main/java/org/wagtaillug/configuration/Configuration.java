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

/** What is in force at this node now, read by the parts that decide about traffic. */
public interface Configuration {
    /**
     * A template and its version.
     *
     * @param version the offset of the change that set it
     * @param template what it says
     */
    record VersionedTemplate(long version, Template template) {}

    /** The template of this name, if one is in force. */
    Optional<VersionedTemplate> template(TemplateId id);

    /** The names of all templates in force, for error messages. */
    Collection<TemplateId> templates();

    /** The parameters of a customer, if it is known. */
    Optional<CustomerContract> customer(CustomerId id);

    /** The names of all customers in force, for error messages. */
    Collection<CustomerId> customers();

    /** What the servers of a pool bear; {@link PoolContract#unspecified} where operators said nothing. */
    PoolContract pool(PoolId id);

    /** How many copies of which model are wanted. */
    Collection<PlacementContract> placements();

    /** Whether operators let new work go to a VM: neither it nor its failure domain is taken out. */
    boolean inService(Vm vm);

    /** The offset up to which the control stream is folded in. */
    long through();
}
