package org.wagtaillug.settings;

import java.util.Collection;
import java.util.Optional;

/** Finds the valid name that is most similar to an invalid one, for suggestions in error messages. */
public final class NearestName {
    private static final int LENGTH_PER_EDIT = 3;

    private NearestName() {}

    /**
     * Returns the name with the smallest edit distance to {@code wrong}, if that distance is at most 1 or at most a
     * third of the length of {@code wrong}.
     *
     * @param wrong the invalid name
     * @param valid the valid names
     */
    public static Optional<String> of(String wrong, Collection<String> valid) {
        int limit = Math.max(1, wrong.length() / LENGTH_PER_EDIT) + 1;
        String nearest = null;
        for (String name : valid) {
            if (Math.abs(name.length() - wrong.length()) >= limit) {
                continue;
            }
            int edits = editDistance(wrong, name);
            if (edits < limit) {
                limit = edits;
                nearest = name;
            }
        }
        return Optional.ofNullable(nearest);
    }

    /**
     * The optimal string alignment distance: counts insertions, deletions, substitutions and transpositions of
     * neighbours, each as one.
     */
    private static int editDistance(String from, String to) {
        int[][] table = new int[from.length() + 1][to.length() + 1];
        for (int row = 0; row <= from.length(); row++) {
            table[row][0] = row;
        }
        for (int column = 0; column <= to.length(); column++) {
            table[0][column] = column;
        }
        for (int row = 1; row <= from.length(); row++) {
            for (int column = 1; column <= to.length(); column++) {
                int substitutionCost = from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1;
                int distance = Math.min(table[row - 1][column] + 1, table[row][column - 1] + 1);
                distance = Math.min(distance, table[row - 1][column - 1] + substitutionCost);
                if (transposed(from, row, to, column)) {
                    distance = Math.min(distance, table[row - 2][column - 2] + 1);
                }
                table[row][column] = distance;
            }
        }
        return table[from.length()][to.length()];
    }

    private static boolean transposed(String from, int row, String to, int column) {
        return row > 1
                && column > 1
                && from.charAt(row - 1) == to.charAt(column - 2)
                && from.charAt(row - 2) == to.charAt(column - 1);
    }
}
