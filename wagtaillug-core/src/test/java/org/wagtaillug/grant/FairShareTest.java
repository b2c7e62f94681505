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

    /** Gives one unit at a time to whoever has least and wants more; among those to the largest demand, then the last. */
    private static int[] unitByUnit(int limit, int[] demands) {
        int[] shares = new int[demands.length];
        for (int unit = 0; unit < limit; unit++) {
            int poorest = -1;
            for (int i = 0; i < demands.length; i++) {
                if (shares[i] == demands[i]) {
                    continue;
                }
                boolean poorer = poorest < 0 || shares[i] < shares[poorest];
                boolean level = poorest >= 0 && shares[i] == shares[poorest];
                if (poorer || level && demands[i] >= demands[poorest]) {
                    poorest = i;
                }
            }
            if (poorest < 0) {
                break;
            }
            shares[poorest]++;
        }
        return shares;
    }
}
