package org.wagtaillug.id;

/**
 * Identifies a model that engines serve, for example {@code menu-7b}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record ModelId(String value) implements Comparable<ModelId> {
    /** Validates the value. */
    public ModelId {
        value = IdText.validated("ModelId", value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
