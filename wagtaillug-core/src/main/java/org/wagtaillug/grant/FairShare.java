package org.wagtaillug.grant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Max-min fair division of an integer capacity among demands. */
final class FairShare {
    private FairShare() {}

    /**
     * Gives each demand at most what it asks for, and gives one demand more than another only if the other is
     * satisfied. The remainder goes to the largest demands, and among equal demands to the later one.
     *
     * @param limit the capacity to divide, at least 0
     * @param demands how much each party asks for, each at least 0
     * @return one share per demand, in the same order; the sum is at most {@code limit}
     */
    static int[] split(int limit, int[] demands) {
        List<Integer> ascending = new ArrayList<>();
        for (int i = 0; i < demands.length; i++) {
            ascending.add(i);
        }
        ascending.sort(Comparator.comparingInt(index -> demands[index]));
        int[] shares = new int[demands.length];
        int remaining = limit;
        int unallocated = demands.length;
        for (int index : ascending) {
            shares[index] = Math.min(demands[index], remaining / unallocated);
            remaining -= shares[index];
            unallocated--;
        }
        return shares;
    }
}
