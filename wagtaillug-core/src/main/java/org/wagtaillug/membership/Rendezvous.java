package org.wagtaillug.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Rendezvous hashing: a subject is assigned to the candidate with the highest score for it. When a candidate is added
 * or removed, only the subjects that it gains or had move.
 *
 * <p>Each name is hashed once with SHA-256, which is the same on every platform and disperses names that differ in one
 * character. A pair is scored with the finalizer of MurmurHash3 over both hashes, which costs a few nanoseconds. A CRC
 * would be as fast, but it is linear: the order of two candidates would depend on the same bit for all subjects.
 */
public final class Rendezvous {
    private static final int MAX_CACHED_HASHES = 10_000;

    private final Map<String, Long> hashes = new HashMap<>();

    /** The score of a candidate for a subject, identical in every process. */
    public long score(String subject, String candidate) {
        return score(hash(subject), hash(candidate));
    }

    /** The VMs ordered by descending score for a subject; equal scores in the order of their ids. */
    public List<Vm> rank(String subject, Collection<Vm> candidates) {
        long subjectHash = hash(subject);
        List<Scored> scored = new ArrayList<>();
        for (Vm vm : candidates) {
            scored.add(new Scored(vm, score(subjectHash, hash(vm.id().value()))));
        }
        scored.sort(Comparator.comparingLong(Scored::score).reversed().thenComparing(each -> each.vm()
                .id()));
        List<Vm> ranked = new ArrayList<>();
        for (Scored each : scored) {
            ranked.add(each.vm());
        }
        return ranked;
    }

    private record Scored(Vm vm, long score) {}

    /** The VM with the highest score for a subject; empty without candidates. */
    public Optional<Vm> first(String subject, Collection<Vm> candidates) {
        long subjectHash = hash(subject);
        Vm first = null;
        long highest = Long.MIN_VALUE;
        for (Vm vm : candidates) {
            long score = score(subjectHash, hash(vm.id().value()));
            if (first == null || score > highest) {
                first = vm;
                highest = score;
            }
        }
        return Optional.ofNullable(first);
    }

    /** The score for a subject and a candidate whose names are hashed already. */
    static long score(long subjectHash, long candidateHash) {
        return mix(subjectHash + Long.rotateLeft(candidateHash, 1));
    }

    /** The position of a name on a hash ring, identical in every process. */
    public long hash(String name) {
        Long known = hashes.get(name);
        if (known != null) {
            return known;
        }
        if (hashes.size() >= MAX_CACHED_HASHES) {
            hashes.clear();
        }
        long hash = sha256(name);
        hashes.put(name, hash);
        return hash;
    }

    private static long sha256(String name) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** The 64-bit finalizer of MurmurHash3. */
    private static long mix(long value) {
        long mixed = value;
        mixed ^= mixed >>> 33;
        mixed *= 0xff51afd7ed558ccdL;
        mixed ^= mixed >>> 33;
        mixed *= 0xc4ceb9fe1a85ec53L;
        mixed ^= mixed >>> 33;
        return mixed;
    }
}
