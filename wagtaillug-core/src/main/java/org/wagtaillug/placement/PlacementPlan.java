package org.wagtaillug.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.membership.Vm;

/**
 * Assigns models to engines. The plan is a pure function of the placements and the engines, so all nodes with the same
 * configuration and VM list compute the same plan without coordination.
 */
final class PlacementPlan {
    private static final Comparator<PlacementContract> ORDER =
            Comparator.comparing(PlacementContract::model).thenComparingInt(PlacementContract::version);

    private PlacementPlan() {}

    /**
     * Assigns one placement to each engine of a pool that has placements.
     *
     * <p>Every placement gets a first copy before any gets a second one. Engines beyond the requested copies are
     * assigned additional copies in turn: an engine without a model is unused, and a second copy allows a model to be
     * replaced without downtime. Engines are ranked by model, not by version, so a new version is placed on the engines
     * of the old one.
     *
     * @param engines the engines that are listed, not leaving, and in service
     * @return the placement of each engine; engines without a placement are absent
     */
    static Map<VmId, PlacementContract> of(Collection<PlacementContract> placements, Collection<Vm> engines) {
        Map<PoolId, List<PlacementContract>> byPool = new TreeMap<>();
        for (PlacementContract placement : placements) {
            byPool.computeIfAbsent(placement.pool(), id -> new ArrayList<>()).add(placement);
        }
        Map<VmId, PlacementContract> plan = new TreeMap<>();
        for (Map.Entry<PoolId, List<PlacementContract>> pool : byPool.entrySet()) {
            List<Vm> members = new ArrayList<>();
            for (Vm engine : engines) {
                if (engine.pool().equals(Optional.of(pool.getKey()))) {
                    members.add(engine);
                }
            }
            assign(pool.getValue(), members, plan);
        }
        return plan;
    }

    private static void assign(
            List<PlacementContract> placements, List<Vm> engines, Map<VmId, PlacementContract> plan) {
        placements.sort(ORDER);
        Rendezvous rendezvous = new Rendezvous();
        Map<PlacementContract, List<Vm>> ranked = new HashMap<>();
        int maxCopies = 0;
        for (PlacementContract placement : placements) {
            ranked.put(placement, rendezvous.rank(placement.model().value(), engines));
            maxCopies = Math.max(maxCopies, placement.copies());
        }
        for (int copy = 1; copy <= maxCopies; copy++) {
            for (PlacementContract placement : placements) {
                if (placement.copies() >= copy) {
                    assignBest(placement, ranked.get(placement), plan);
                }
            }
        }
        boolean enginesLeft = true;
        while (enginesLeft) {
            for (PlacementContract placement : placements) {
                enginesLeft = enginesLeft && assignBest(placement, ranked.get(placement), plan);
            }
        }
    }

    private static boolean assignBest(PlacementContract placement, List<Vm> ranked, Map<VmId, PlacementContract> plan) {
        for (Vm engine : ranked) {
            if (plan.putIfAbsent(engine.id(), placement) == null) {
                return true;
            }
        }
        return false;
    }
}
