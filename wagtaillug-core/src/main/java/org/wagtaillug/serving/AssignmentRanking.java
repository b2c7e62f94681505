package org.wagtaillug.serving;

import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.id.VmId;

/**
 * The candidates for the assignment of engines. They are ranked like the nodes that store the origins of streams, which all
 * nodes watch already; the first of these decides about quarantine and writes to the store, so the second comes first here.
 */
final class AssignmentRanking {
    private AssignmentRanking() {}

    /** The candidates in order of preference. */
    static List<VmId> of(List<VmId> streamReplicas) {
        if (streamReplicas.size() < 2) {
            return streamReplicas;
        }
        List<VmId> ranking = new ArrayList<>(streamReplicas);
        ranking.addFirst(ranking.remove(1));
        return ranking;
    }
}
