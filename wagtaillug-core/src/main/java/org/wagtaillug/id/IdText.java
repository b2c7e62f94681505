package org.wagtaillug.id;

/** Validation of textual ids. */
final class IdText {
    private static final int MAX_LENGTH = 128;

    private IdText() {}

    static String validated(String type, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(type + " is blank; expected 1 to " + MAX_LENGTH + " characters");
        }
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    type + " has " + value.length() + " characters; expected at most " + MAX_LENGTH);
        }
        return value;
    }
}
