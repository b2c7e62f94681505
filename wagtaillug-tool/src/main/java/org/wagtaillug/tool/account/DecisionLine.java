package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.OptionalLong;

/** A decision logged by a node. Fields that older versions did not write are empty. */
final class DecisionLine {
    private final JsonNode fields;
    private final Instant at;

    private DecisionLine(JsonNode fields, Instant at) {
        this.fields = fields;
        this.at = at;
    }

    /** Parses a log line; empty if it is not a decision with a valid time. */
    static Optional<DecisionLine> of(JsonNode object) {
        if (!object.path("decision").isTextual()) {
            return Optional.empty();
        }
        try {
            String time = object.path("at").asText(object.path("time").asText());
            return Optional.of(new DecisionLine(object, Instant.parse(time)));
        } catch (DateTimeParseException unreadable) {
            return Optional.empty();
        }
    }

    Instant at() {
        return at;
    }

    String kind() {
        return fields.path("decision").textValue();
    }

    Optional<String> text(String field) {
        JsonNode value = fields.path(field);
        return value.isMissingNode() || value.isNull() ? Optional.empty() : Optional.of(value.asText());
    }

    /** The value of an integer field; empty if the field is missing or not an integer. */
    OptionalLong number(String field) {
        try {
            return text(field).map(Long::parseLong).map(OptionalLong::of).orElse(OptionalLong.empty());
        } catch (NumberFormatException notNumber) {
            return OptionalLong.empty();
        }
    }
}
