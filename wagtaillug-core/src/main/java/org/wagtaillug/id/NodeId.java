package org.wagtaillug.id;

import java.util.Comparator;

/**
 * Identifies one run of the daemon: the VM and the incarnation. A restarted node counts as another node, so that
 * commitments to or by the old run do not apply to the new one.
 *
 * @param vm the VM that the node runs on
 * @param incarnation the start of the run in Unix milliseconds; later runs have higher values
 */
public record NodeId(VmId vm, long incarnation) implements Comparable<NodeId> {
    private static final Comparator<NodeId> ORDER =
            Comparator.comparing(NodeId::vm).thenComparingLong(NodeId::incarnation);

    @Override
    public int compareTo(NodeId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return vm + "#" + incarnation;
    }
}
