package org.wagtaillug.id;

/**
 * Names a model that engines serve, for example {@code menu-7b}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record ModelId(String value) implements Comparable<ModelId> {
    /** Checks the length. */
    public ModelId {
        value = IdText.checked("ModelId", value);
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
