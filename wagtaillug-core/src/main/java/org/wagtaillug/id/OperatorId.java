package org.wagtaillug.id;

/**
 * Identifies the operator who made a change.
 *
 * @param value 1 to 128 characters, not blank
 */
public record OperatorId(String value) implements Comparable<OperatorId> {
    /** Validates the value. */
    public OperatorId {
        value = IdText.validated("OperatorId", value);
    }

    @Override
    public int compareTo(OperatorId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
