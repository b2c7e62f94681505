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
 * Rendezvous hashing: of several candidates the one with the highest score for a subject has it. When a candidate comes
 * or goes, only the subjects that it wins or held move.
 *
 * <p>Each name is hashed once by SHA-256, which gives the same on every platform and spreads names that differ in one
 * character; a pair is scored by the finalizer of MurmurHash3 over both, which costs a few nanoseconds. A CRC would be as
 * fast, but it is linear: two candidates would be ordered by one and the same bit for all subjects.
 */
public final class Rendezvous {
    private static final int CACHED_NAMES = 10_000;

    private final Map<String, Long> hashes = new HashMap<>();

    /** The score of a candidate for a subject. The same in every process. */
    public long score(String subject, String candidate) {
        return score(hash(subject), hash(candidate));
    }

    /** The VMs in the order of their scores for a subject, the highest first; equal scores in the order of their ids. */
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

    /** The score of a candidate for a subject whose names were hashed before. */
    static long score(long subjectHash, long candidateHash) {
        return mix(subjectHash + Long.rotateLeft(candidateHash, 1));
    }

    /** The place of a name on a ring. The same in every process. */
    public long hash(String name) {
        Long known = hashes.get(name);
        if (known != null) {
            return known;
        }
        if (hashes.size() >= CACHED_NAMES) {
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
