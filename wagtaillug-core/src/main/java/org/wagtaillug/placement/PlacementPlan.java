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
 * Which engine is to serve which model: a function of the placements and the engines alone, so that all nodes with the
 * same configuration and list plan alike and need no word with one another.
 */
final class PlacementPlan {
    private static final Comparator<PlacementContract> ORDER =
            Comparator.comparing(PlacementContract::model).thenComparingInt(PlacementContract::version);

    private PlacementPlan() {}

    /**
     * Assigns one placement to each engine of a pool that has placements.
     *
     * <p>Every placement gets a first copy before any gets a second one. Engines beyond the wanted copies take further
     * copies in turn: an empty engine serves nobody, and with a second copy a model can be replaced without a gap. The
     * version has no part in an engine's weight, so a new version goes to the engines of the old one.
     *
     * @param engines the engines that are listed, not leaving and in service
     * @return engines that get nothing are absent
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
        int most = 0;
        for (PlacementContract placement : placements) {
            ranked.put(placement, rendezvous.rank(placement.model().value(), engines));
            most = Math.max(most, placement.copies());
        }
        for (int copy = 1; copy <= most; copy++) {
            for (PlacementContract placement : placements) {
                if (placement.copies() >= copy) {
                    takeBest(placement, ranked.get(placement), plan);
                }
            }
        }
        boolean left = true;
        while (left) {
            for (PlacementContract placement : placements) {
                left = left && takeBest(placement, ranked.get(placement), plan);
            }
        }
    }

    private static boolean takeBest(PlacementContract placement, List<Vm> ranked, Map<VmId, PlacementContract> plan) {
        for (Vm engine : ranked) {
            if (plan.putIfAbsent(engine.id(), placement) == null) {
                return true;
            }
        }
        return false;
    }
}
