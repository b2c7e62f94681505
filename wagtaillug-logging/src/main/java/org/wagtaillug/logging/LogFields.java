package org.wagtaillug.logging;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a line says, in fields of their own instead of one text. Given as the only parameter of a line:
 *
 * <pre>{@code
 * logger.log(Level.INFO, "{0}", LogFields.builder().text("decision", "send").build());
 * }</pre>
 *
 * @param texts fields of one value
 * @param lists fields of several values
 */
public record LogFields(Map<String, String> texts, Map<String, List<String>> lists) {
    /** No fields yet. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects fields; a line shows them in the order in which they were added. */
    public static final class Builder {
        private final Map<String, String> texts = new LinkedHashMap<>();
        private final Map<String, List<String>> lists = new LinkedHashMap<>();

        private Builder() {}

        /** Adds a field of one value. */
        public Builder text(String name, String value) {
            texts.put(name, value);
            return this;
        }

        /** Adds a field of several values. */
        public Builder list(String name, List<String> values) {
            lists.put(name, new ArrayList<>(values));
            return this;
        }

        /** The fields. */
        public LogFields build() {
            return new LogFields(texts, lists);
        }
    }
}
