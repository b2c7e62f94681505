package org.wagtaillug.id;

/**
 * Identifies a VM, of a node or of an upstream, by its name in the VM list, for example {@code ramdin-engine-3}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record VmId(String value) implements Comparable<VmId> {
    /** Validates the value. */
    public VmId {
        value = IdText.validated("VmId", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
