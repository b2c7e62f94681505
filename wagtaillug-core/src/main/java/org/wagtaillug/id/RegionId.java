package org.wagtaillug.id;

/**
 * Identifies a region, for example {@code port-louis}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record RegionId(String value) implements Comparable<RegionId> {
    /** Validates the value. */
    public RegionId {
        value = IdText.validated("RegionId", value);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
