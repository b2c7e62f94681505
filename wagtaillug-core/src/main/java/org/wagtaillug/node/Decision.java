package org.wagtaillug.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A decision, as it is written to the decision log.
 *
 * <pre>{@code
 * Decision.builder("route").field("request", id).alternative("ramdin-engine-2: no grant").build();
 * }</pre>
 *
 * @param kind a stable name, for example {@code route}, {@code hedge}, {@code refuse}, {@code grant}, {@code order}
 * @param fields the fields, in the order in which they are written
 * @param alternatives the rejected alternatives, each with its reason
 */
public record Decision(String kind, Map<String, String> fields, List<String> alternatives) {
    /** Starts a builder for a decision of the given kind. */
    public static Builder builder(String kind) {
        return new Builder(kind);
    }

    /** Builder for {@link Decision}. */
    public static final class Builder {
        private final String kind;
        private final Map<String, String> fields = new LinkedHashMap<>();
        private final List<String> alternatives = new ArrayList<>();

        private Builder(String kind) {
            this.kind = kind;
        }

        public Builder field(String name, Object value) {
            fields.put(name, String.valueOf(value));
            return this;
        }

        /** Adds a rejected alternative with its reason. */
        public Builder alternative(String text) {
            alternatives.add(text);
            return this;
        }

        public Decision build() {
            return new Decision(kind, Collections.unmodifiableMap(fields), Collections.unmodifiableList(alternatives));
        }
    }
}
