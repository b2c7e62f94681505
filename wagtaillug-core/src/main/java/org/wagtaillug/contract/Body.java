package org.wagtaillug.contract;

import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;

/** The value of a configuration key. A removed key holds {@link Removed}, so that it keeps its version. */
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
     * The service state of a failure domain, as set by operators.
     *
     * @param domain the failure domain
     * @param out true while it is out
     */
    record DomainService(DomainId domain, boolean out) implements Body {}

    /**
     * The service state of a VM, as set by operators.
     *
     * @param vm the VM
     * @param out true while it is out
     */
    record VmService(VmId vm, boolean out) implements Body {}

    /** The key was removed. */
    record Removed() implements Body {}

    /**
     * A body of a kind that this version of the program does not know. It is kept unchanged and included in versions
     * and digests, so that old and new versions of the program agree on which change won.
     *
     * @param kind the name of its kind
     * @param text the encoded body
     */
    record Unknown(String kind, String text) implements Body {}

    /**
     * The configuration key of this body, which is the same for all of its versions.
     *
     * @throws IllegalStateException for {@link Removed} and {@link Unknown}, which do not contain their key
     */
    default String key() {
        return switch (this) {
            case Template template -> "template/" + template.id();
            case CustomerContract customer -> "customer/" + customer.id();
            case PoolContract pool -> "pool/" + pool.id();
            case PlacementContract placement -> "placement/" + placement.model();
            case DomainService service -> domainKey(service.domain());
            case VmService service -> vmKey(service.vm());
            case Removed ignored -> throw new IllegalStateException("a removed body does not contain its key");
            case Unknown unknown -> throw new IllegalStateException("an unknown body does not contain its key");
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
