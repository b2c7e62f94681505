package org.wagtaillug.placement;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.wagtaillug.membership.Vm;

/**
 * Rendezvous hashing over VMs: every node ranks the same VMs alike for the same key, and a VM that comes or goes moves
 * only what it gains or loses itself.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /** The VMs in the order of their weight for a key, the heaviest first; equal weights in the order of their ids. */
    public static List<Vm> rank(String key, Collection<Vm> vms) {
        List<Weighted> weighted = new ArrayList<>();
        for (Vm vm : vms) {
            weighted.add(new Weighted(vm, weight(key, vm)));
        }
        weighted.sort(Comparator.comparingLong(Weighted::weight).reversed().thenComparing(each -> each.vm()
                .id()));
        List<Vm> ranked = new ArrayList<>();
        for (Weighted each : weighted) {
            ranked.add(each.vm());
        }
        return ranked;
    }

    private static long weight(String key, Vm vm) {
        byte[] text = (key + '\n' + vm.id()).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.wrap(digest().digest(text)).getLong();
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }

    private record Weighted(Vm vm, long weight) {}
}
