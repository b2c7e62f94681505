package org.wagtaillug.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class FairShareTest {
    @Property(tries = 2000, seed = "4711")
    void splitsAsUnitByUnit(
            @ForAll @IntRange(max = 40) int limit, @ForAll @Size(max = 9) List<@IntRange(max = 12) Integer> wanted) {
        int[] demands = wanted.stream().mapToInt(Integer::intValue).toArray();
        assertThat(FairShare.split(limit, demands)).isEqualTo(unitByUnit(limit, demands));
    }

    /**
     * Gives one unit at a time to the unsatisfied demand with the smallest share; among equal shares to the largest
     * demand, then to the last.
     */
    private static int[] unitByUnit(int limit, int[] demands) {
        int[] shares = new int[demands.length];
        for (int unit = 0; unit < limit; unit++) {
            int smallest = -1;
            for (int i = 0; i < demands.length; i++) {
                if (shares[i] == demands[i]) {
                    continue;
                }
                boolean isSmaller = smallest < 0 || shares[i] < shares[smallest];
                boolean isEqual = smallest >= 0 && shares[i] == shares[smallest];
                if (isSmaller || isEqual && demands[i] >= demands[smallest]) {
                    smallest = i;
                }
            }
            if (smallest < 0) {
                break;
            }
            shares[smallest]++;
        }
        return shares;
    }
}
