package org.wagtaillug.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.configuration.Samples;
import org.wagtaillug.membership.RosterWorld.Machine;

/** Nine nodes in three failure domains, and what each takes for granted while the log or the links fail. */
class StandingTest {
    private final RosterWorld world = new RosterWorld(7);

    private void startNine() {
        for (int node = 0; node < 9; node++) {
            world.start("entry-" + node, List.of("pl-a", "pl-b", "pl-c").get(node % 3));
        }
        world.run(10_000);
        assertThat(world.machines).allMatch(machine -> standing(machine) == Standing.FRESH);
    }

    private static Standing standing(Machine machine) {
        return machine.members.standing(machine.clock());
    }

    /** How often each standing was seen at some of the nodes, every 10 ms for a time. */
    private Map<Standing, Integer> watch(long length, Predicate<Machine> which) {
        Map<Standing, Integer> seen = new EnumMap<>(Standing.class);
        for (long end = world.time + length; world.time < end; ) {
            world.run(10);
            for (Machine machine : world.machines) {
                if (which.test(machine)) {
                    seen.merge(standing(machine), 1, Integer::sum);
                }
            }
        }
        return seen;
    }

    /**
     * The log goes down, and all nodes leave the balancer at once: each thinks that it alone is cut off. They must tell one
     * another that nobody reaches it, before their leases lapse, and whether it refuses or says nothing at all.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLogOutageCutsNobodyOff(boolean silent) {
        startNine();
        world.logDown = !silent;
        world.logSilent = silent;
        assertThat(watch(30_000, machine -> true)).containsOnlyKeys(Standing.FRESH, Standing.LOG_OUTAGE);
        world.logDown = false;
        world.logSilent = false;
        assertThat(watch(10_000, machine -> true)).containsOnlyKeys(Standing.FRESH, Standing.LOG_OUTAGE);
        assertThat(world.machines).allMatch(machine -> standing(machine) == Standing.FRESH);
    }

    /** The log answers after four seconds: each answer is older than a lease, but all nodes are in the same position. */
    @Test
    void aSlowLogCutsNobodyOff() {
        startNine();
        world.logDelay = 4_000;
        assertThat(watch(60_000, machine -> true)).containsOnlyKeys(Standing.FRESH, Standing.LOG_OUTAGE);
    }

    /** A node alone, then a whole domain, loses the log and the others while operators go on to change things. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void thoseWhoAreCutOffSayAndKnowIt(int count) {
        startNine();
        Predicate<Machine> gone =
                machine -> world.machines.indexOf(machine) % 3 == 0 && world.machines.indexOf(machine) / 3 < count;
        world.cut(gone);
        world.run(6_000);
        assertThat(watch(5_000, gone)).containsOnlyKeys(Standing.CUT_OFF);
        assertThat(watch(5_000, gone.negate())).containsOnlyKeys(Standing.FRESH);
    }

    /** A zone is taken out, and one node that has lost the log goes on sending work there. Its peers must tell it. */
    @Test
    void aNodeWithoutTheLogLearnsFromItsPeers() {
        startNine();
        Machine without = world.machines.getFirst();
        without.cutFromLog = true;
        world.run(5_000);
        world.log.append(Samples.change("anita", "c", 0, Samples.service(true)), without.clock());
        world.run(2_000);
        assertThat(standing(without)).isEqualTo(Standing.FRESH);
        assertThat(world.machines).allMatch(machine -> !machine.state.inService(Samples.upstream("engine-1", "pl-a")));
    }
}
