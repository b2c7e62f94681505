package org.wagtaillug.logging;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Structured content of a log line: separate fields instead of a message. Passed as the only parameter of the log call:
 *
 * <pre>{@code
 * logger.log(Level.INFO, "{0}", LogFields.builder().text("decision", "send").build());
 * }</pre>
 *
 * @param texts fields with one value
 * @param lists fields with several values
 */
public record LogFields(Map<String, String> texts, Map<String, List<String>> lists) {
    /** Returns a builder without fields. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds fields, which are written in the order in which they are added, those with one value first. */
    public static final class Builder {
        private final Map<String, String> texts = new LinkedHashMap<>();
        private final Map<String, List<String>> lists = new LinkedHashMap<>();

        private Builder() {}

        /** Adds a field with one value. */
        public Builder text(String name, String value) {
            texts.put(name, value);
            return this;
        }

        /** Adds a field with several values. */
        public Builder list(String name, List<String> values) {
            lists.put(name, new ArrayList<>(values));
            return this;
        }

        /** Returns the fields that were added. */
        public LogFields build() {
            return new LogFields(texts, lists);
        }
    }
}
