package org.wagtaillug.id;

import java.util.Comparator;

/**
 * Names one run of the daemon: the VM and which of its runs. A restarted node is another node, so that nothing that was
 * promised to or by the old run is held against the new one.
 *
 * @param vm the VM that the node runs on
 * @param incarnation the start of the run, Unix milliseconds; a later run has a greater one
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
