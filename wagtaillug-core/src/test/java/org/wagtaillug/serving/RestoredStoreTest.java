package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.NORTH;
import static org.wagtaillug.serving.ServingWorld.ORDERS;
import static org.wagtaillug.serving.ServingWorld.SOUTH;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.feed.ConfigurationItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.rollout.RolloutStatus;
import org.wagtaillug.route.Customer;
import org.wagtaillug.route.ServingConfiguration;

/** A store that is away for a moment and comes back from an earlier copy, with offsets that are given out again. */
class RestoredStoreTest {
    private static final Duration IN_FORCE = Duration.ofSeconds(2);
    private static final Duration AWAY = Duration.ofSeconds(1);
    private static final Duration SETTLED = Duration.ofSeconds(6);
    private static final String OLD_KEY = ServingWorld.KEY;
    private static final String NEW_KEY = "key-of-kitchen";

    private ServingWorld world;
    private int nodes;
    private int requests;

    private void start(int count) {
        nodes = count;
        world = new ServingWorld(count);
        world.startServing();
        world.run(Duration.ofSeconds(4));
    }

    @BeforeEach
    void reset() {
        requests = 0;
    }

    private static ServingConfiguration configuration(long version, String key) {
        ServingConfiguration base = ServingWorld.configuration(version);
        Customer customer = new Customer(new CustomerId("office"), OptionalInt.empty());
        return new ServingConfiguration(version, base.routes(), base.pools(), base.limits(), Map.of(key, customer));
    }

    /** Lets the store be away for a moment and come back from a copy. */
    private void restore(Map<FeedName, Integer> copy) {
        for (int number = 1; number <= nodes; number++) {
            world.refusedByStore.add(node(number));
        }
        world.run(AWAY);
        world.refusedByStore.clear();
        world.restoreStore(copy);
    }

    /** The nodes that accept requests with a key. */
    private Set<VmId> accepting(String key) {
        Set<VmId> accepting = new HashSet<>();
        for (int number = 1; number <= nodes; number++) {
            requests++;
            RequestId id = new RequestId("check-" + requests);
            world.request(number, id, "/lookup/1", Optional.of(key));
            if (!world.sends(id).isEmpty()) {
                accepting.add(node(number));
                world.endAttempt(number, id, new SendEnd.Passed());
            }
        }
        return accepting;
    }

    /** The upstreams that get plain requests now, of many at each node. */
    private Set<VmId> usedUpstreams() {
        Set<VmId> used = new HashSet<>();
        for (int number = 1; number <= nodes; number++) {
            for (int repetition = 0; repetition < 4; repetition++) {
                RequestId id = world.request(number, "lookup");
                world.sends(id).forEach(order -> used.add(order.upstream().id()));
            }
        }
        return used;
    }

    /** Guards against confirmed changes that are ignored until the offsets pass those known before. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 9, 30})
    void aChangeConfirmedAfterTheReturnIsInForceInTime(int count) {
        start(count);
        Map<FeedName, Integer> copy = world.copyStore();
        for (long version = 2; version <= 6; version++) {
            world.publish(configuration(version, OLD_KEY));
        }
        world.run(IN_FORCE);
        restore(copy);
        world.run(Duration.ofSeconds(3));
        world.publish(configuration(7, NEW_KEY));
        world.run(IN_FORCE);
        assertThat(accepting(NEW_KEY)).hasSize(count);
        assertThat(accepting(OLD_KEY)).isEmpty();
    }

    /** Guards against a mixture of two histories when the offsets have passed those known before while nobody read. */
    @ParameterizedTest
    @ValueSource(ints = {1, 9})
    void recordsThatTookTheOffsetsOfLostOnesAreRead(int count) {
        start(count);
        Map<FeedName, Integer> copy = world.copyStore();
        world.publish(configuration(2, OLD_KEY));
        world.run(IN_FORCE);
        restore(copy);
        world.publish(configuration(3, NEW_KEY));
        for (int number = 0; number < 3; number++) {
            world.write(FeedName.CONFIGURATION, "evacuation", new ConfigurationItem.DomainService(SOUTH, number == 1));
        }
        world.run(IN_FORCE);
        assertThat(accepting(NEW_KEY)).hasSize(count);
        assertThat(accepting(OLD_KEY)).isEmpty();
    }

    /** Guards against an older configuration of the copy that replaces a newer one. */
    @ParameterizedTest
    @ValueSource(ints = {1, 9})
    void theConfigurationDoesNotGoBack(int count) {
        start(count);
        Map<FeedName, Integer> copy = world.copyStore();
        world.publish(configuration(2, NEW_KEY));
        world.run(IN_FORCE);
        restore(copy);
        world.run(SETTLED);
        assertThat(accepting(OLD_KEY)).isEmpty();
        assertThat(accepting(NEW_KEY)).hasSize(count);
    }

    /** Guards against a domain that is used again because the copy does not know that it was taken out of service. */
    @Test
    void aDomainOutOfServiceStaysSoUntilItIsWrittenAgain() {
        start(9);
        Map<FeedName, Integer> copy = world.copyStore();
        world.write(FeedName.CONFIGURATION, "out/south", new ConfigurationItem.DomainService(SOUTH, true));
        world.run(IN_FORCE);
        restore(copy);
        world.run(Duration.ofSeconds(1));
        assertThat(usedUpstreams()).containsExactly(new VmId("orders-1"));
        world.write(FeedName.CONFIGURATION, "out/south", new ConfigurationItem.DomainService(SOUTH, true));
        world.run(IN_FORCE);
        assertThat(usedUpstreams()).containsExactly(new VmId("orders-1"));
        world.write(FeedName.CONFIGURATION, "out/south", new ConfigurationItem.DomainService(SOUTH, false));
        world.run(IN_FORCE);
        assertThat(usedUpstreams()).contains(new VmId("orders-2"));
    }

    /** Guards against an upstream that leaves and gets requests again because the copy lists it as ready. */
    @Test
    void aLeavingUpstreamStaysLeaving() {
        start(9);
        Map<FeedName, Integer> copy = world.copyStore();
        world.register("orders-2", ORDERS, SOUTH, true, Duration.ZERO);
        world.run(IN_FORCE);
        restore(copy);
        world.run(SETTLED);
        assertThat(usedUpstreams()).containsExactly(new VmId("orders-1"));
    }

    /** Guards against a removed upstream that gets requests again before it is known whether it lives. */
    @Test
    void aRemovedUpstreamIsNotUsedAgainAtOnce() {
        start(9);
        Map<FeedName, Integer> copy = world.copyStore();
        world.remove(FeedName.DIRECTORY, "orders-2");
        world.run(IN_FORCE);
        restore(copy);
        world.run(Duration.ofSeconds(1));
        world.remove(FeedName.DIRECTORY, "orders-2");
        assertThat(usedUpstreams()).containsExactly(new VmId("orders-1"));
        world.run(SETTLED);
        assertThat(usedUpstreams()).containsExactly(new VmId("orders-1"));
    }

    /** Guards against upstreams that stay unknown because they were listed at offsets that were given out before. */
    @Test
    void upstreamsThatAreListedAfterTheReturnAreUsed() {
        start(9);
        Map<FeedName, Integer> copy = world.copyStore();
        for (int number = 0; number < 5; number++) {
            world.register("orders-1", ORDERS, NORTH, false, Duration.ZERO);
            world.run(Duration.ofMillis(200));
        }
        world.run(IN_FORCE);
        restore(copy);
        world.register("orders-3", ORDERS, NORTH, false, Duration.ZERO);
        world.run(IN_FORCE);
        assertThat(usedUpstreams()).contains(new VmId("orders-3"));
    }

    /** Guards against a rollout that starts anew, or whose status is lost, when the copy lacks its latest status. */
    @Test
    void aRolloutGoesOnWithItsStatusWrittenAgain() {
        start(3);
        for (int number = 3; number <= 4; number++) {
            world.register("orders-" + number, ORDERS, "v2");
        }
        world.run(IN_FORCE);
        world.orderRollout(ORDERS, "v2", Duration.ofSeconds(60));
        world.run(Duration.ofSeconds(1));
        Map<FeedName, Integer> copy = world.copyStore();
        world.run(Duration.ofSeconds(3));
        RolloutStatus before = world.rolloutStatus().orElseThrow();
        copy.put(FeedName.ROLLOUTS, 0);
        restore(copy);
        world.run(SETTLED);
        RolloutStatus after = world.rolloutStatus().orElseThrow();
        assertThat(after.order()).isEqualTo(before.order());
        assertThat(after.elapsed()).isGreaterThanOrEqualTo(before.elapsed());
    }

    /** Guards against nodes whose registration is lost for good: the others would divide all limits without them. */
    @ParameterizedTest
    @ValueSource(ints = {3, 9, 30})
    void nodesRegisterAgain(int count) {
        start(count);
        Map<FeedName, Integer> copy = world.copyStore();
        copy.put(FeedName.MEMBERSHIP, 1);
        restore(copy);
        world.run(SETTLED);
        Set<String> registered = new HashSet<>();
        for (FeedRecord record : world.store.get(FeedName.MEMBERSHIP)) {
            registered.add(record.key());
        }
        assertThat(registered).hasSize(count);
    }
}
