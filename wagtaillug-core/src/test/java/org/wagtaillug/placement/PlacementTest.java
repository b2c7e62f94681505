package org.wagtaillug.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.grant.FakeConfiguration;
import org.wagtaillug.grant.FakeOwnership;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

class PlacementTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final PoolId POOL = new PoolId("generate");
    private static final int LOAD_STEPS = 6;

    private record Served(ModelId model, int version) {}

    private final Effects effects = new Effects();
    private final FakeConfiguration configuration = new FakeConfiguration(2, 4, 8);
    private final List<Vm> engines = new ArrayList<>();
    private final Map<VmId, Served> serving = new TreeMap<>();
    private final Map<VmId, Served> loading = new TreeMap<>();
    private final Map<VmId, Integer> loadedAt = new TreeMap<>();

    /**
     * Guards against a model without any engine: an operator changes the placements, and two owners each switch their
     * engine in the belief that the other's engine keeps the model. Owners own random engines, orders get lost, and a
     * switched engine serves nothing while it loads.
     */
    @Property(tries = 300, seed = "4713")
    void convergesAndNeverTakesTheLastCopy(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        reset(3 + random.nextInt(6));
        List<PlacementContract> before = placements(random, engines.size());
        configuration.placements.addAll(before);
        Placement plan = new Placement(ownership("node-0"), configuration);
        plan.onVmList(engines, START);
        serving.putAll(models(plan));
        configuration.placements.clear();
        configuration.placements.addAll(placements(random, engines.size() / 2));

        List<FakeOwnership> views = new ArrayList<>();
        List<Placement> owners = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            PartialOwnership view = new PartialOwnership("node-" + i, i, 3);
            views.add(view);
            owners.add(new Placement(view, configuration));
            owners.get(i).onVmList(engines, START);
        }
        int orders = 0;
        for (int step = 0; step < 600; step++) {
            Instant now = START.plus(Duration.ofMillis(500L * step));
            for (Placement owner : owners) {
                reportAll(owner, now);
                owner.onTick(now, effects);
            }
            for (Effect effect : effects.drain()) {
                if (effect instanceof Effect.SendOrder order) {
                    orders++;
                    if (random.nextInt(10) > 0) {
                        receive(order, step);
                    }
                }
            }
            finishLoads(step);
        }
        assertThat(serving).as("after %d orders", orders).isEqualTo(models(owners.get(0)));
        for (Placement owner : owners) {
            assertThat(owner.plan()).isEqualTo(owners.get(0).plan());
        }
    }

    private void receive(Effect.SendOrder order, int step) {
        Served present = serving.get(order.upstream());
        Served ordered = new Served(order.model(), order.version());
        if (ordered.equals(present) || ordered.equals(loading.get(order.upstream()))) {
            return;
        }
        serving.remove(order.upstream());
        loading.put(order.upstream(), ordered);
        loadedAt.put(order.upstream(), step + LOAD_STEPS);
        if (present != null && isConfigured(present.model())) {
            assertThat(serving.values())
                    .as("engines that still serve %s", present.model())
                    .anyMatch(each -> each.model().equals(present.model()));
        }
    }

    private void finishLoads(int step) {
        for (Map.Entry<VmId, Served> each : List.copyOf(loading.entrySet())) {
            if (step >= loadedAt.get(each.getKey())) {
                serving.put(each.getKey(), each.getValue());
                loading.remove(each.getKey());
            }
        }
    }

    private boolean isConfigured(ModelId model) {
        return configuration.placements.stream().anyMatch(each -> each.model().equals(model));
    }

    private static Map<VmId, Served> models(Placement planner) {
        Map<VmId, Served> models = new TreeMap<>();
        planner.plan().forEach((engine, each) -> models.put(engine, new Served(each.model(), each.version())));
        return models;
    }

    private void reportAll(Placement owner, Instant now) {
        for (Vm engine : engines) {
            Served present = serving.get(engine.id());
            owner.onLoadReport(engine.id(), report(present, now), now);
        }
    }

    private static LoadReport report(Served present, Instant now) {
        Optional<ModelId> model = Optional.ofNullable(present).map(Served::model);
        int version = present == null ? 0 : present.version();
        return new LoadReport(START, now, 0, 0, 8, model, version, 0);
    }

    /** Random placements with at maxCopies one version per model and at maxCopies {@code maxCopies} copies in total. */
    private static List<PlacementContract> placements(Random random, int maxCopies) {
        List<PlacementContract> placements = new ArrayList<>();
        int remaining = Math.max(1, maxCopies);
        for (int model = 0; model < 3 && remaining > 0; model++) {
            int copies = 1 + random.nextInt(remaining);
            placements.add(new PlacementContract(new ModelId("model-" + model), 1 + random.nextInt(3), POOL, copies));
            remaining -= copies;
        }
        return placements;
    }

    private void reset(int count) {
        engines.clear();
        serving.clear();
        loading.clear();
        loadedAt.clear();
        configuration.placements.clear();
        for (int i = 0; i < count; i++) {
            engines.add(new Vm(
                    new VmId("engine-" + i),
                    Optional.of(POOL),
                    new DomainId("a"),
                    new RegionId("r"),
                    "127.0.0.1",
                    1,
                    false));
        }
    }

    private static FakeOwnership ownership(String node) {
        FakeOwnership ownership = new FakeOwnership(new NodeId(new VmId(node), 1));
        ownership.owner = Optional.of(ownership.self());
        return ownership;
    }

    /** Owns one part of the engines, by the hash of their ids. */
    private static final class PartialOwnership extends FakeOwnership {
        private final int index;
        private final int count;

        private PartialOwnership(String node, int index, int count) {
            super(new NodeId(new VmId(node), 1));
            this.index = index;
            this.count = count;
        }

        @Override
        public Optional<NodeId> ownerOf(Vm upstream) {
            boolean owned = Math.floorMod(upstream.id().hashCode(), count) == index;
            return owned ? Optional.of(self()) : Optional.of(new NodeId(new VmId("other"), 1));
        }

        @Override
        public boolean mayGrant(Vm upstream, Instant now) {
            return ownerOf(upstream).equals(Optional.of(self()));
        }
    }

    /**
     * Guards against an engine that switches back and forth between two models: a former owner that is cut off still
     * considers itself the owner. It may no longer grant, so it must not issue orders either; the orders of the new
     * owner carry a higher fencing number.
     */
    @Test
    void ordersOnlyWhileItMayGrant() {
        reset(1);
        configuration.placements.add(new PlacementContract(new ModelId("menu"), 1, POOL, 1));
        FakeOwnership ownership = ownership("node-0");
        ownership.fencingNumber = 17;
        ownership.grantAllowed = () -> false;
        Placement placement = new Placement(ownership, configuration);
        placement.onVmList(engines, START);
        reportAll(placement, START);
        placement.onTick(START, effects);
        assertThat(effects.drain()).isEmpty();
        ownership.grantAllowed = () -> true;
        placement.onTick(START, effects);
        assertThat(effects.drain())
                .contains(new Effect.SendOrder(engines.get(0).id(), true, new ModelId("menu"), 1, 17));
    }

    /** Guards against overloading the weight store by engines that all load at once. */
    @Test
    void loadsOneAtATime() {
        reset(4);
        configuration.placements.add(new PlacementContract(new ModelId("menu"), 1, POOL, 4));
        Placement placement = new Placement(ownership("node-0"), configuration);
        placement.onVmList(engines, START);
        reportAll(placement, START);
        placement.onTick(START, effects);
        placement.onTick(START.plusSeconds(4), effects);
        assertThat(effects.drain().stream().filter(Effect.SendOrder.class::isInstance))
                .hasSize(1);
    }
}
