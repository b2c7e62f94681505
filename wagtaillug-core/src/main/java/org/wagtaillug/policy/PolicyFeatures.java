package org.wagtaillug.policy;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/**
 * The policy features that a node uses. Immutable.
 *
 * @param off the features that are switched off
 */
public record PolicyFeatures(Set<PolicyFeature> off) {
    /** The default: all features. */
    public static final PolicyFeatures ALL = new PolicyFeatures(Set.of());

    /** Makes a defensive copy of the set. */
    public PolicyFeatures {
        off = Set.copyOf(off);
    }

    /** All features except some. */
    public static PolicyFeatures without(Collection<PolicyFeature> excluded) {
        Set<PolicyFeature> off = EnumSet.noneOf(PolicyFeature.class);
        off.addAll(excluded);
        return new PolicyFeatures(off);
    }

    /** Whether a feature is in use. */
    public boolean uses(PolicyFeature feature) {
        return !off.contains(feature);
    }
}
