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

    /** Bits of a message number below the incarnation: a run may number 2^20 messages in each millisecond of its life. */
    private static final int MESSAGE_NUMBER_BITS = 20;

    /**
     * Returns the number before the first one that this run gives to its messages. The ranges of runs with different
     * incarnations do not overlap, so that a late reply to an earlier run matches no message of a later one.
     */
    public long messageNumberBase() {
        return incarnation << MESSAGE_NUMBER_BITS;
    }

    @Override
    public int compareTo(NodeId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return vm + "#" + incarnation;
    }
}
