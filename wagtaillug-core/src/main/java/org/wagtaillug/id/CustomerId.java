package org.wagtaillug.id;

/**
 * Identifies a customer, for example {@code office-nord}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /** Validates the value. */
    public CustomerId {
        value = IdText.validated("CustomerId", value);
    }

    @Override
    public int compareTo(CustomerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
