package org.wagtaillug.id;

/**
 * Names a VM, one of ours or an upstream, as the VM list does, for example {@code ramdin-engine-3}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record VmId(String value) implements Comparable<VmId> {
    /** Checks the length. */
    public VmId {
        value = IdText.checked("VmId", value);
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
