package org.wagtaillug.id;

/**
 * Identifies a stage within its template, for example {@code rerank}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record StageId(String value) implements Comparable<StageId> {
    /** Validates the value. */
    public StageId {
        value = IdText.validated("StageId", value);
    }

    @Override
    public int compareTo(StageId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
