package org.wagtaillug.contract;

import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;

/** What one configuration key holds. A key that was removed holds {@link Removed}, so that it keeps its version. */
public sealed interface Body
        permits Template,
                CustomerContract,
                PoolContract,
                PlacementContract,
                Body.DomainService,
                Body.VmService,
                Body.Removed,
                Body.Unknown {
    /**
     * Operators took a failure domain out of service.
     *
     * @param domain which
     * @param out true while it is out
     */
    record DomainService(DomainId domain, boolean out) implements Body {}

    /**
     * Operators took one VM out of service.
     *
     * @param vm which
     * @param out true while it is out
     */
    record VmService(VmId vm, boolean out) implements Body {}

    /** The key was removed. */
    record Removed() implements Body {}

    /**
     * A body that this version of the program does not know. It is kept as it is and counts in versions and digests, so
     * that old and new programs agree on which change won.
     *
     * @param kind the name it came with
     * @param text the body's text
     */
    record Unknown(String kind, String text) implements Body {}

    /**
     * The key under which this body stands. The same for all versions of the same thing.
     *
     * @throws IllegalStateException for {@link Removed} and {@link Unknown}, which do not know their key
     */
    default String key() {
        return switch (this) {
            case Template template -> "template/" + template.id();
            case CustomerContract customer -> "customer/" + customer.id();
            case PoolContract pool -> "pool/" + pool.id();
            case PlacementContract placement -> "placement/" + placement.model();
            case DomainService service -> domainKey(service.domain());
            case VmService service -> vmKey(service.vm());
            case Removed ignored -> throw new IllegalStateException("a removed body does not know its key");
            case Unknown unknown -> throw new IllegalStateException("an unknown body does not know its key");
        };
    }

    /** The key of a failure domain's service state. */
    static String domainKey(DomainId domain) {
        return "domain/" + domain;
    }

    /** The key of a VM's service state. */
    static String vmKey(VmId vm) {
        return "vm/" + vm;
    }

    /** The key of a customer's parameters. */
    static String customerKey(CustomerId customer) {
        return "customer/" + customer;
    }
}
