package org.wagtaillug.dispatch;

import java.util.Collection;

/** Suggests the known name that is closest to a misspelled one, for error messages. */
public final class SpellingHint {
    private static final int MAX_DISTANCE = 3;

    private SpellingHint() {}

    /**
     * A clause such as {@code ; did you mean "menu-draft"?}, or an empty string if no known name is within the maximum
     * edit distance.
     */
    public static String didYouMean(String given, Collection<?> known) {
        String nearest = null;
        int least = MAX_DISTANCE + 1;
        for (Object candidate : known) {
            int distance = distance(given, candidate.toString());
            if (distance < least) {
                least = distance;
                nearest = candidate.toString();
            }
        }
        return nearest == null ? "" : "; did you mean \"" + nearest + "\"?";
    }

    /** The Levenshtein distance of two strings. */
    private static int distance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int column = 0; column < row.length; column++) {
            row[column] = column;
        }
        for (int index = 1; index <= left.length(); index++) {
            int diagonal = row[0];
            row[0] = index;
            for (int column = 1; column < row.length; column++) {
                int substitution = diagonal + (left.charAt(index - 1) == right.charAt(column - 1) ? 0 : 1);
                diagonal = row[column];
                row[column] = Math.min(substitution, 1 + Math.min(row[column], row[column - 1]));
            }
        }
        return row[right.length()];
    }
}
