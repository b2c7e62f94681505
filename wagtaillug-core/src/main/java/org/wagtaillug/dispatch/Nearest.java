package org.wagtaillug.dispatch;

import java.util.Collection;

/** Finds the known name that a mistyped one most resembles, for error messages. */
public final class Nearest {
    private static final int MOST_EDITS = 3;

    private Nearest() {}

    /** A half sentence such as {@code ; did you mean "menu-draft"?}, or nothing if no known name is near. */
    public static String hint(String given, Collection<?> known) {
        String nearest = null;
        int fewest = MOST_EDITS + 1;
        for (Object candidate : known) {
            int edits = edits(given, candidate.toString());
            if (edits < fewest) {
                fewest = edits;
                nearest = candidate.toString();
            }
        }
        return nearest == null ? "" : "; did you mean \"" + nearest + "\"?";
    }

    /** The Levenshtein distance. */
    private static int edits(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int column = 0; column < row.length; column++) {
            row[column] = column;
        }
        for (int line = 1; line <= left.length(); line++) {
            int diagonal = row[0];
            row[0] = line;
            for (int column = 1; column < row.length; column++) {
                int substitution = diagonal + (left.charAt(line - 1) == right.charAt(column - 1) ? 0 : 1);
                diagonal = row[column];
                row[column] = Math.min(substitution, 1 + Math.min(row[column], row[column - 1]));
            }
        }
        return row[right.length()];
    }
}
