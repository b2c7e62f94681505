package org.wagtaillug.id;

/** The one check that all textual ids share. */
final class IdText {
    private static final int LONGEST = 128;

    private IdText() {}

    static String checked(String type, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(type + " is blank; expected 1 to " + LONGEST + " characters");
        }
        if (value.length() > LONGEST) {
            throw new IllegalArgumentException(
                    type + " has " + value.length() + " characters; expected at most " + LONGEST);
        }
        return value;
    }
}
