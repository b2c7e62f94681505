package org.wagtaillug.id;

/**
 * Identifies a pool of upstreams that do the same work, for example {@code generate}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record PoolId(String value) implements Comparable<PoolId> {
    /** Validates the value. */
    public PoolId {
        value = IdText.validated("PoolId", value);
    }

    @Override
    public int compareTo(PoolId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
