package org.wagtaillug.id;

/**
 * Names a pool of upstreams that do the same work, for example {@code generate}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record PoolId(String value) implements Comparable<PoolId> {
    /** Checks the length. */
    public PoolId {
        value = IdText.checked("PoolId", value);
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
