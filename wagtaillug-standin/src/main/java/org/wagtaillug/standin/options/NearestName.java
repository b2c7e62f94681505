package org.wagtaillug.standin.options;

import java.util.Collection;

/** Finds the valid name closest to an unknown one, for error messages. */
public final class NearestName {
    private NearestName() {}

    /**
     * Describes the names that are valid in place of an unknown one: {@code expected one of a, b, c; nearest is 'b'}.
     *
     * @param found the unknown name
     * @param valid all valid names, at least one
     */
    public static String expected(String found, Collection<String> valid) {
        return "expected one of " + String.join(", ", valid) + "; nearest is '" + of(found, valid) + "'";
    }

    /** Returns the valid name with the smallest edit distance, the first one on a tie. */
    public static String of(String found, Collection<String> valid) {
        String best = "";
        int bestDistance = Integer.MAX_VALUE;
        for (String name : valid) {
            int distance = distance(found, name);
            if (distance < bestDistance) {
                best = name;
                bestDistance = distance;
            }
        }
        return best;
    }

    private static int distance(String left, String right) {
        int[] previous = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= left.length(); row++) {
            int[] current = new int[right.length() + 1];
            current[0] = row;
            for (int column = 1; column <= right.length(); column++) {
                int replaced = previous[column - 1] + (left.charAt(row - 1) == right.charAt(column - 1) ? 0 : 1);
                current[column] = Math.min(replaced, 1 + Math.min(previous[column], current[column - 1]));
            }
            previous = current;
        }
        return previous[right.length()];
    }
}
