package org.wagtaillug.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One decision as the log shows it.
 *
 * <pre>{@code
 * Decision.builder("route").field("request", id).alternative("ramdin-engine-2: no grant").build();
 * }</pre>
 *
 * @param kind a stable name, for example {@code route}, {@code hedge}, {@code refuse}, {@code grant}, {@code order}
 * @param fields what it was about, in order of writing
 * @param alternatives what was not chosen, each with its reason
 */
public record Decision(String kind, Map<String, String> fields, List<String> alternatives) {
    /** Starts a decision of a kind. */
    public static Builder builder(String kind) {
        return new Builder(kind);
    }

    /** Collects the parts of a {@link Decision}. */
    public static final class Builder {
        private final String kind;
        private final Map<String, String> fields = new LinkedHashMap<>();
        private final List<String> alternatives = new ArrayList<>();

        private Builder(String kind) {
            this.kind = kind;
        }

        /** Adds a field. */
        public Builder field(String name, Object value) {
            fields.put(name, String.valueOf(value));
            return this;
        }

        /** Adds something that was not chosen. */
        public Builder alternative(String text) {
            alternatives.add(text);
            return this;
        }

        /** Builds the decision. */
        public Decision build() {
            return new Decision(kind, Collections.unmodifiableMap(fields), Collections.unmodifiableList(alternatives));
        }
    }
}
