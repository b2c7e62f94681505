package org.wagtaillug.id;

/**
 * Names one request of a caller; given by the caller or made by the node that accepted it.
 *
 * @param value 1 to 128 characters, not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Checks the length. */
    public RequestId {
        value = IdText.checked("RequestId", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
