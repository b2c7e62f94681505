package org.wagtaillug.grant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Splits a whole number among demands, max-min fair. */
final class FairShare {
    private FairShare() {}

    /**
     * Gives each demand at most what it wants, and nobody more while another that wants it has less. What does not divide
     * goes to the largest demands, and among equal ones to the later.
     *
     * @param limit how much there is, at least 0
     * @param demands how much each wants, each at least 0
     * @return as many numbers as demands, in their order; their sum is at most {@code limit}
     */
    static int[] split(int limit, int[] demands) {
        List<Integer> ascending = new ArrayList<>();
        for (int i = 0; i < demands.length; i++) {
            ascending.add(i);
        }
        ascending.sort(Comparator.comparingInt(index -> demands[index]));
        int[] shares = new int[demands.length];
        int left = limit;
        int unserved = demands.length;
        for (int index : ascending) {
            shares[index] = Math.min(demands[index], left / unserved);
            left -= shares[index];
            unserved--;
        }
        return shares;
    }
}
