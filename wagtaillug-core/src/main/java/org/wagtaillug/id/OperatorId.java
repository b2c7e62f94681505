package org.wagtaillug.id;

/**
 * Names the operator who made a change.
 *
 * @param value 1 to 128 characters, not blank
 */
public record OperatorId(String value) implements Comparable<OperatorId> {
    /** Checks the length. */
    public OperatorId {
        value = IdText.checked("OperatorId", value);
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
