package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;

/** Describes the values found in a document for messages of one line. */
final class ValueText {
    private static final int MAX_LENGTH = 60;

    private ValueText() {}

    static String of(JsonNode value) {
        if (value == null || value.isMissingNode() || value.isNull()) {
            return "nothing";
        }
        return switch (value.getNodeType()) {
            case OBJECT -> "a mapping";
            case ARRAY -> "a list of " + value.size();
            case STRING -> quoted(value.textValue());
            default -> truncated(value.toString());
        };
    }

    static String quoted(String text) {
        return "\"" + printable(truncated(text)) + "\"";
    }

    /** Replaces each control character by a space, so that the message of a problem stays on one line. */
    static String printable(String text) {
        StringBuilder printable = new StringBuilder();
        for (char character : text.toCharArray()) {
            printable.append(Character.isISOControl(character) ? ' ' : character);
        }
        return printable.toString();
    }

    private static String truncated(String text) {
        return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH) + "...";
    }
}
