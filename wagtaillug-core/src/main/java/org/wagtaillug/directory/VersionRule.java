package org.wagtaillug.directory;

import java.util.Set;

/** Restricts a request to upstreams of certain versions. */
public sealed interface VersionRule {
    /** Allows every version. */
    VersionRule ANY = new Except(Set.of());

    /**
     * Allows a single version.
     *
     * @param version the allowed version
     */
    record Only(String version) implements VersionRule {}

    /**
     * Allows all versions except some.
     *
     * @param versions the excluded versions
     */
    record Except(Set<String> versions) implements VersionRule {
        /** Makes a defensive copy of the set. */
        public Except {
            versions = Set.copyOf(versions);
        }
    }

    /**
     * Allows the version with a key.
     *
     * @param version the key of the allowed version
     */
    record Exactly(VersionKey version) implements VersionRule {}

    /** Whether a request may be sent to upstreams of a version. */
    default boolean allows(String version) {
        return switch (this) {
            case Only only -> only.version().equals(version);
            case Exactly exactly -> exactly.version().equals(VersionKey.of(version));
            case Except except -> !except.versions().contains(version);
        };
    }
}
