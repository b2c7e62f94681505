package org.wagtaillug.id;

/**
 * Identifies a template, for example {@code menu-draft}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record TemplateId(String value) implements Comparable<TemplateId> {
    /** Validates the value. */
    public TemplateId {
        value = IdText.validated("TemplateId", value);
    }

    @Override
    public int compareTo(TemplateId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
