package org.wagtaillug.directory;

import java.util.Set;

/** Which versions of a pool's upstreams a request may go to. */
public sealed interface VersionRule {
    /** No version is excluded. */
    VersionRule ANY = new Except(Set.of());

    /**
     * One version.
     *
     * @param version which
     */
    record Only(String version) implements VersionRule {}

    /**
     * All but some versions.
     *
     * @param versions those that get nothing
     */
    record Except(Set<String> versions) implements VersionRule {
        /** Copies the set. */
        public Except {
            versions = Set.copyOf(versions);
        }
    }

    /** Whether upstreams of a version may be used. */
    default boolean allows(String version) {
        return switch (this) {
            case Only only -> only.version().equals(version);
            case Except except -> !except.versions().contains(version);
        };
    }
}
