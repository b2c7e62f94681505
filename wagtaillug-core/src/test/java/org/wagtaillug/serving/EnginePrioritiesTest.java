package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.RouteId;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.CallerLimits;
import org.wagtaillug.route.Customer;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.RouteTable;
import org.wagtaillug.route.ServingConfiguration;

class EnginePrioritiesTest {
    private static final ContentionSwitch ON = new ContentionSwitch(Contention.ON, PolicyFeatures.ALL);

    /** A configuration with customers of ranks from 0 and routes of ranks from 0, all to engines but one. */
    private static ServingConfiguration configuration(int customerRanks, int routeRanks) {
        List<Route> routes = new ArrayList<>();
        for (int rank = 0; rank < routeRanks; rank++) {
            routes.add(route("draft-" + rank, rank).pool(ServingWorld.MODEL, 1).build());
        }
        routes.add(route("lookup", 40).pool(ServingWorld.ORDERS, 1).build());
        Map<String, Customer> customers = new HashMap<>();
        for (int rank = 0; rank < customerRanks; rank++) {
            customers.put("key-" + rank, new Customer(new CustomerId("customer-" + rank), OptionalInt.of(rank)));
        }
        return new ServingConfiguration(
                1,
                new RouteTable(routes),
                Map.of(
                        ServingWorld.MODEL,
                        new PoolProfile(ServingWorld.MODEL, 120, 8, Optional.empty(), true),
                        ServingWorld.ORDERS,
                        new PoolProfile(ServingWorld.ORDERS, 120, 0, Optional.empty(), false)),
                CallerLimits.DEFAULT,
                customers);
    }

    private static Route.Builder route(String name, int rank) {
        return Route.builder(new RouteId(name), RouteKind.STREAM)
                .hostAndPath("shop.example", "/" + name + "/")
                .timeouts(Duration.ofSeconds(6), Duration.ofSeconds(1))
                .rank(rank);
    }

    private static OptionalInt priority(ContentionSwitch contention, ServingConfiguration configuration, int rank) {
        EnginePriorities priorities = new EnginePriorities(contention);
        priorities.configure(configuration);
        return priorities.priority(rank, ServingWorld.MODEL, configuration);
    }

    /** Guards against a route's rank that outweighs the customer's, and against ranks that are told in the wrong order. */
    @ParameterizedTest
    @CsvSource({"1, 1", "1, 4", "3, 3", "2, 5", "1, 30", "4, 5", "30, 1", "30, 30"})
    void prioritiesFollowTheOrderOfRanks(int customerRanks, int routeRanks) {
        ServingConfiguration configuration = configuration(customerRanks, routeRanks);
        HashSet<Integer> used = new HashSet<>();
        int previous = 0;
        for (int customer = 0; customer < customerRanks; customer++) {
            for (int route = 0; route < routeRanks; route++) {
                int priority = priority(ON, configuration, EnginePriorities.rank(customer, route))
                        .orElseThrow();
                assertThat(priority).isBetween(previous, 9);
                previous = priority;
                used.add(priority);
            }
        }
        assertThat(used).hasSize(Math.min(10, customerRanks * routeRanks));
    }

    @Test
    void ranksOfAnEarlierConfigurationAreWithinTheBounds() {
        assertThat(priority(ON, configuration(1, 2), 7_099)).hasValue(2);
        assertThat(priority(ON, configuration(30, 30), 7_099)).hasValue(9);
    }

    /** Guards against a header that engines get although the feature is off, or that other servers get. */
    @Test
    void onlyEnginesAreToldAndOnlyWhileTheFeatureIsInEffect() {
        ServingConfiguration configuration = configuration(1, 3);
        ContentionSwitch announced = new ContentionSwitch(Contention.ANNOUNCED, PolicyFeatures.ALL);
        assertThat(priority(announced, configuration, 1)).isEmpty();
        announced.onAnnounced();
        assertThat(priority(announced, configuration, 1)).hasValue(1);
        PolicyFeatures without = PolicyFeatures.without(List.of(PolicyFeature.ENGINE_PRIORITIES));
        assertThat(priority(new ContentionSwitch(Contention.ON, without), configuration, 1))
                .isEmpty();
        assertThat(new EnginePriorities(ON).priority(1, ServingWorld.ORDERS, configuration))
                .isEmpty();
    }
}
