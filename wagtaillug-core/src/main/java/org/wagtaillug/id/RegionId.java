package org.wagtaillug.id;

/**
 * Names a region, for example {@code port-louis}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record RegionId(String value) implements Comparable<RegionId> {
    /** Checks the length. */
    public RegionId {
        value = IdText.checked("RegionId", value);
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
