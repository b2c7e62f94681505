package org.wagtaillug.id;

/**
 * Names a template, for example {@code menu-draft}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record TemplateId(String value) implements Comparable<TemplateId> {
    /** Checks the length. */
    public TemplateId {
        value = IdText.checked("TemplateId", value);
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
