package org.wagtaillug.id;

/**
 * Identifies a failure domain, for example {@code pl-a}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record DomainId(String value) implements Comparable<DomainId> {
    /** Validates the value. */
    public DomainId {
        value = IdText.validated("DomainId", value);
    }

    @Override
    public int compareTo(DomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
