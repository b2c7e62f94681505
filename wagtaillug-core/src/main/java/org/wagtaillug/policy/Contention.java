package org.wagtaillug.policy;

/** When the policy features for contended or uneven upstreams take effect. */
public enum Contention {
    /** Never. */
    OFF,
    /** From the time at which an upstream has announced how long its work takes, to this node or to another one. */
    ANNOUNCED,
    /** From the start. */
    ON
}
