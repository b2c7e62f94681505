package org.wagtaillug.standin.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class SlotPoolTest {
    private static final int SLOTS = 3;
    private static final int QUEUE = 4;

    @Property(seed = "7", tries = 200)
    void neverRunsMoreThanItsSlotsAndLosesNoJob(
            @ForAll @Size(max = 60) List<@IntRange(min = -3, max = 9) Integer> steps) {
        SlotPool<Integer> pool = new SlotPool<>(SLOTS, QUEUE, 0, 0);
        int next = 0;
        int taken = 0;
        int finished = 0;
        Deque<Integer> running = new ArrayDeque<>();
        for (int step : steps) {
            if (step < 0) {
                if (!running.isEmpty()) {
                    finished++;
                    pool.finish(running.poll()).ifPresent(running::add);
                }
                continue;
            }
            int job = next++;
            SlotPool.Outcome outcome = pool.offer(job, step);
            if (outcome == SlotPool.Outcome.RUNS) {
                running.add(job);
            }
            taken += outcome == SlotPool.Outcome.FULL ? 0 : 1;
        }
        assertThat(pool.runningCount()).isEqualTo(running.size()).isLessThanOrEqualTo(SLOTS);
        assertThat(pool.waitingCount()).isLessThanOrEqualTo(QUEUE);
        assertThat(pool.runningCount() + pool.waitingCount()).isEqualTo(taken - finished);
    }
}
