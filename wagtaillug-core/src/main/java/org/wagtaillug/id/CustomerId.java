package org.wagtaillug.id;

/**
 * Names a customer, for example {@code office-nord}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /** Checks the length. */
    public CustomerId {
        value = IdText.checked("CustomerId", value);
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
