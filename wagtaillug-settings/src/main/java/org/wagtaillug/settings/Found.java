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
        StringBuilder plain = new StringBuilder();
        for (char letter : shortened(text).toCharArray()) {
            plain.append(Character.isISOControl(letter) ? ' ' : letter);
        }
        return "\"" + plain + "\"";
    }

    private static String shortened(String text) {
        return text.length() <= LONGEST ? text : text.substring(0, LONGEST) + "...";
    }
}
