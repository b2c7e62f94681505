package org.wagtaillug.peer;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/**
 * A task that one or a few nodes perform for the other nodes, such as scheduling the calls of a pool.
 *
 * @param ranking the candidates, in order of preference
 * @param holders the number of nodes that hold the duty at the same time
 * @param pool the pool to whose upstreams only nodes may hold the duty that reach them; empty if it needs none
 * @param requirements what a node must be able to do to hold the duty
 */
public record Duty(List<VmId> ranking, int holders, Optional<PoolId> pool, Set<Requirement> requirements) {
    /** What a node must be able to do. */
    public enum Requirement {
        /** Its reads of the store are answered. */
        STORE,
        /** It accepts tunnels. */
        TUNNELS,
        /** It answers queries for the origins of streams. */
        STREAM_ORIGINS,
        /** It reports which prompts crash upstreams. */
        QUARANTINE,
        /** It processes the messages of the features for contended upstreams. */
        CONTENTION
    }

    /** Makes defensive copies of the collections. */
    public Duty {
        ranking = List.copyOf(ranking);
        requirements = Set.copyOf(requirements);
    }

    /** Creates a duty with one holder that needs neither the store nor upstreams. */
    public static Duty of(List<VmId> ranking) {
        return new Duty(ranking, 1, Optional.empty(), Set.of());
    }

    /** Creates a duty of nodes that can read the store. */
    public static Duty ofStoreReaders(List<VmId> ranking, int holders) {
        return new Duty(ranking, holders, Optional.empty(), Set.of(Requirement.STORE));
    }

    /** Creates a duty with one holder that reaches the upstreams of a pool. */
    public static Duty atPool(List<VmId> ranking, PoolId pool) {
        return new Duty(ranking, 1, Optional.of(pool), Set.of());
    }

    /** Creates the duty to forward connections to the upstreams of a pool. */
    public static Duty ofTunnels(List<VmId> ranking, int holders, PoolId pool) {
        return new Duty(ranking, holders, Optional.of(pool), Set.of(Requirement.TUNNELS));
    }

    /** Creates the duty to store the origins of streams. */
    public static Duty ofStreamReplicas(List<VmId> ranking, int holders) {
        return new Duty(ranking, holders, Optional.empty(), Set.of(Requirement.STREAM_ORIGINS));
    }

    /** Creates the duty to write the origins of streams to the store. */
    public static Duty ofStreamWriter(List<VmId> ranking) {
        return new Duty(ranking, 1, Optional.empty(), EnumSet.of(Requirement.STREAM_ORIGINS, Requirement.STORE));
    }

    /** Creates the duty to decide which prompts are quarantined. */
    public static Duty ofQuarantine(List<VmId> ranking, int holders) {
        return new Duty(ranking, holders, Optional.empty(), Set.of(Requirement.QUARANTINE));
    }

    /** Creates the duty to write to the store which prompts are quarantined. */
    public static Duty ofQuarantineWriter(List<VmId> ranking) {
        return new Duty(ranking, 1, Optional.empty(), EnumSet.of(Requirement.QUARANTINE, Requirement.STORE));
    }

    /** Creates the duty to assign the engines of a pool. */
    public static Duty ofAssignment(List<VmId> ranking, PoolId pool) {
        return new Duty(ranking, 1, Optional.of(pool), Set.of(Requirement.CONTENTION));
    }
}
