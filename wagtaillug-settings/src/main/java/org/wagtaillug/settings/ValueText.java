package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;

/** What was found, in words short enough for one line. */
final class Found {
    private static final int LONGEST = 60;

    private Found() {}

    static String of(JsonNode value) {
        if (value == null || value.isMissingNode() || value.isNull()) {
            return "nothing";
        }
        return switch (value.getNodeType()) {
            case OBJECT -> "a mapping";
            case ARRAY -> "a list of " + value.size();
            case STRING -> quoted(value.textValue());
            default -> shortened(value.toString());
        };
    }

    static String quoted(String text) {
        return "\"" + printable(shortened(text)) + "\"";
    }

    /** The text with a space for each control character, so that a problem stays on its line. */
    static String printable(String text) {
        StringBuilder printable = new StringBuilder();
        for (char letter : text.toCharArray()) {
            printable.append(Character.isISOControl(letter) ? ' ' : letter);
        }
        return printable.toString();
    }

    private static String shortened(String text) {
        return text.length() <= LONGEST ? text : text.substring(0, LONGEST) + "...";
    }
}
