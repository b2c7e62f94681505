package org.wagtaillug.settings;

import java.util.Collection;
import java.util.Optional;

/** Finds the valid name that a wrong one was probably meant to be. */
public final class NearestName {
    private static final int SHARE_OF_LENGTH = 3;

    private NearestName() {}

    /**
     * The name with the fewest edits to {@code wrong}, if these are at most a third of its length and at least one is
     * allowed.
     *
     * @param wrong what was found
     * @param valid the choices
     */
    public static Optional<String> of(String wrong, Collection<String> valid) {
        int fewest = Math.max(1, wrong.length() / SHARE_OF_LENGTH) + 1;
        String nearest = null;
        for (String name : valid) {
            if (Math.abs(name.length() - wrong.length()) >= fewest) {
                continue;
            }
            int edits = edits(wrong, name);
            if (edits < fewest) {
                fewest = edits;
                nearest = name;
            }
        }
        return Optional.ofNullable(nearest);
    }

    /** Counts insertions, deletions, replacements and swaps of neighbours, each as one. */
    private static int edits(String from, String to) {
        int[][] table = new int[from.length() + 1][to.length() + 1];
        for (int row = 0; row <= from.length(); row++) {
            table[row][0] = row;
        }
        for (int column = 0; column <= to.length(); column++) {
            table[0][column] = column;
        }
        for (int row = 1; row <= from.length(); row++) {
            for (int column = 1; column <= to.length(); column++) {
                int replaced = from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1;
                int best = Math.min(table[row - 1][column] + 1, table[row][column - 1] + 1);
                best = Math.min(best, table[row - 1][column - 1] + replaced);
                if (swapped(from, row, to, column)) {
                    best = Math.min(best, table[row - 2][column - 2] + 1);
                }
                table[row][column] = best;
            }
        }
        return table[from.length()][to.length()];
    }

    private static boolean swapped(String from, int row, String to, int column) {
        return row > 1
                && column > 1
                && from.charAt(row - 1) == to.charAt(column - 2)
                && from.charAt(row - 2) == to.charAt(column - 1);
    }
}
