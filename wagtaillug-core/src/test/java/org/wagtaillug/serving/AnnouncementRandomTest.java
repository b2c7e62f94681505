package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.AnnouncingFleet.upstream;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.VmId;

/**
 * Guards against requests that go against what upstreams have announced, in seeded sessions in which announcements change
 * while nodes restart, join, and are cut off from one another and from the store.
 *
 * <p>More runs: {@code -Dwagtaillug.announcement.runs=2000}.
 */
class AnnouncementRandomTest {
    private static final int RUNS = Integer.getInteger("wagtaillug.announcement.runs", 40);

    /** 1511: an upstream restarts, unnoticed by a node without store and peers, and announces to it that it leaves. */
    private static final List<Long> REGRESSION_SEEDS = List.of(1511L);

    private static final int UPSTREAMS = 5;
    private static final int STEPS = 24;

    @Test
    void noRequestGoesAgainstAnAnnouncement() {
        List<String> failures = new ArrayList<>();
        int received = 0;
        for (long seed : seeds()) {
            Session session = new Session(seed);
            session.run();
            for (int number = 1; number <= UPSTREAMS; number++) {
                received += session.fleet.receivedSinceLastCall(upstream(number));
            }
            if (!session.fleet.violations().isEmpty()) {
                failures.add("seed " + seed + ": " + session.fleet.violations() + " after " + session.actions);
            }
        }
        assertThat(failures).isEmpty();
        assertThat(received).isGreaterThan(RUNS * STEPS);
    }

    private static List<Long> seeds() {
        List<Long> seeds = new ArrayList<>(REGRESSION_SEEDS);
        for (long seed = 1; seed <= RUNS; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    private static final class Session {
        private final Random random;
        private final AnnouncingFleet fleet;
        private final List<String> actions = new ArrayList<>();
        private long incarnation = 1;

        private Session(long seed) {
            random = new Random(seed);
            fleet = new AnnouncingFleet(3 + random.nextInt(12), UPSTREAMS, seed);
        }

        private void run() {
            double requestsPerSecond = 20 + random.nextInt(60);
            for (int step = 0; step < STEPS; step++) {
                act(upstream(1 + random.nextInt(UPSTREAMS)), node(1 + random.nextInt(fleet.size())));
                fleet.run(Duration.ofMillis(200 + random.nextInt(1800)), requestsPerSecond);
            }
        }

        private void act(VmId upstream, VmId node) {
            int action = random.nextInt(12);
            actions.add(action + " " + upstream + " " + node);
            switch (action) {
                case 0, 1, 2 ->
                    fleet.announce(upstream, OptionalDouble.of(random.nextInt(3) == 0 ? 10 : random.nextDouble() * 3));
                case 3 -> fleet.announce(upstream, OptionalDouble.empty());
                case 4 -> fleet.announceLeaving(upstream);
                case 5 -> fleet.refuse(upstream, Duration.ofMillis(1000 + random.nextInt(3000)));
                case 6 -> fleet.refuse(upstream, Duration.ZERO);
                case 7 -> fleet.restartUpstream(upstream);
                case 8 -> {
                    incarnation++;
                    fleet.restart(node, incarnation);
                }
                case 9 -> fleet.join(1);
                case 10 -> toggle(fleet.world.isolatedNodes, node);
                default -> toggle(fleet.world.cutOffFromStore, node);
            }
        }

        private static void toggle(Set<VmId> affected, VmId node) {
            if (!affected.remove(node)) {
                affected.add(node);
            }
        }
    }
}
