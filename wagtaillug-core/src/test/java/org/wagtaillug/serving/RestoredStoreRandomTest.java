package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtaillug.feed.ConfigurationItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.route.Customer;
import org.wagtaillug.route.ServingConfiguration;

/** Random changes by an operator around random returns of the store from earlier copies, with restarts of nodes. */
class RestoredStoreRandomTest {
    private static final int RUNS = Integer.getInteger("wagtaillug.restore.runs", 20);
    private static final Duration IN_FORCE = Duration.ofSeconds(2);

    /** Guards against confirmed changes that are not in force, or go back, whatever the store loses and when. */
    @Test
    void confirmedChangesStayInForce() {
        for (long seed = 1; seed <= RUNS; seed++) {
            new Play(seed).run();
        }
    }

    /** One fleet, its operator and its store. */
    private static final class Play {
        private final long seed;
        private final Random random;
        private final int nodes;
        private final ServingWorld world;

        /** What the operator has written since the start, in order. */
        private final List<Runnable> written = new ArrayList<>();

        private long version = 1;
        private boolean southOut;
        private int requests;
        private long incarnation = 1;

        private Play(long seed) {
            this.seed = seed;
            random = new Random(seed);
            nodes = 1 + random.nextInt(12);
            world = new ServingWorld(nodes);
            world.startServing();
            world.run(Duration.ofSeconds(4));
        }

        private void run() {
            for (int round = 0; round < 4; round++) {
                change();
                world.run(Duration.ofMillis(random.nextInt(2500)));
                Map<FeedName, Integer> copy = world.copyStore();
                int kept = written.size();
                for (int more = random.nextInt(4); more > 0; more--) {
                    change();
                    world.run(Duration.ofMillis(random.nextInt(800)));
                }
                returnFrom(copy, kept);
                world.run(IN_FORCE);
                check();
                change();
                world.run(IN_FORCE);
                check();
            }
        }

        private void change() {
            if (random.nextInt(3) == 0) {
                southOut = !southOut;
                boolean out = southOut;
                perform(() -> world.write(
                        FeedName.CONFIGURATION, "south", new ConfigurationItem.DomainService(ServingWorld.SOUTH, out)));
                return;
            }
            version++;
            long published = version;
            perform(() -> world.publish(configuration(published)));
        }

        private void perform(Runnable write) {
            write.run();
            written.add(write);
        }

        /** The store comes back, and the operator writes what was lost again. */
        private void returnFrom(Map<FeedName, Integer> copy, int kept) {
            if (random.nextBoolean()) {
                for (int number = 1; number <= nodes; number++) {
                    world.refusedByStore.add(ServingWorld.node(number));
                }
                world.run(Duration.ofMillis(random.nextInt(2500)));
                world.refusedByStore.clear();
            }
            world.restoreStore(copy);
            if (random.nextBoolean()) {
                world.run(Duration.ofMillis(random.nextInt(500)));
            }
            List.copyOf(written.subList(kept, written.size())).forEach(Runnable::run);
            if (random.nextInt(3) == 0) {
                incarnation++;
                world.start(ServingWorld.node(1 + random.nextInt(nodes)), incarnation);
                world.run(Duration.ofSeconds(1));
            }
        }

        private ServingConfiguration configuration(long number) {
            ServingConfiguration base = ServingWorld.configuration(number);
            Customer customer = new Customer(new CustomerId("office"), OptionalInt.empty());
            return new ServingConfiguration(
                    number, base.routes(), base.pools(), base.limits(), Map.of(key(number), customer));
        }

        private static String key(long number) {
            return number == 1 ? ServingWorld.KEY : "key-" + number;
        }

        private void check() {
            Set<VmId> used = new HashSet<>();
            for (int number = 1; number <= nodes; number++) {
                assertThat(upstreamsOf(number, key(version), used))
                        .as("seed %d: node %d accepts the key of version %d", seed, number, version)
                        .isTrue();
                if (version > 1) {
                    assertThat(upstreamsOf(number, key(version - 1), used))
                            .as("seed %d: node %d accepts the key of version %d", seed, number, version - 1)
                            .isFalse();
                }
            }
            if (southOut) {
                assertThat(used).as("seed %d: upstreams in use", seed).doesNotContain(new VmId("orders-2"));
            }
        }

        /** Whether a node sends a request with a key to an upstream. */
        private boolean upstreamsOf(int number, String key, Set<VmId> used) {
            requests++;
            RequestId id = new RequestId("check-" + requests);
            world.request(number, id, "/lookup/1", Optional.of(key));
            List<SendOrder> sends = world.sends(id);
            sends.forEach(order -> used.add(order.upstream().id()));
            if (!sends.isEmpty()) {
                world.endAttempt(number, id, new SendEnd.Passed());
            }
            return !sends.isEmpty();
        }
    }
}
