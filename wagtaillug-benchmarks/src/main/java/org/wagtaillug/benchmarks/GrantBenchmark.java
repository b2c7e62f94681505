package org.wagtaillug.benchmarks;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.grant.GrantOwner;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Ownership;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage.GrantDemand;
import org.wagtaillug.message.PeerMessage.GrantRequest;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/** Renews allowances at an owner; the given number of holders send grant requests in turn for its upstreams. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class GrantBenchmark {
    /** The number of nodes that send requests. */
    @Param({"9", "340"})
    public int holders;

    /** The number of upstreams of the owner. */
    @Param({"3", "16"})
    public int upstreams;

    private final Effects effects = new Effects();
    private final List<NodeId> nodes = new ArrayList<>();
    private GrantOwner owner;
    private List<GrantDemand> demands;
    private Instant now = Instant.EPOCH;
    private long sequence;

    /** Creates the owner and its roster. */
    @Setup
    public void owner() {
        for (int number = 0; number < holders; number++) {
            nodes.add(new NodeId(new VmId("node-" + number), 1));
        }
        owner = new GrantOwner(new AlwaysOwner(), new ControlState());
        List<Vm> vms = new Fleet("generate", upstreams).vms();
        owner.onVmList(vms, now);
        owner.onTick(now, effects);
        demands = new ArrayList<>();
        for (Vm vm : vms) {
            demands.add(new GrantDemand(vm.id(), 1, 0, 10, false, Optional.of(Instant.EPOCH)));
        }
    }

    /** Answers one grant request. */
    @Benchmark
    public List<Effect> renewal() {
        sequence++;
        now = now.plusMillis(1);
        owner.onGrantRequest(
                nodes.get((int) (sequence % holders)), new GrantRequest(sequence, sequence - 1, demands), now, effects);
        return effects.drain();
    }

    /** A roster in which this node owns everything. */
    private final class AlwaysOwner implements Ownership {
        @Override
        public Optional<NodeId> ownerOf(Vm upstream) {
            return Optional.of(nodes.get(0));
        }

        @Override
        public NodeId self() {
            return nodes.get(0);
        }

        @Override
        public Collection<NodeId> members() {
            return nodes;
        }

        @Override
        public boolean mayGrant(Vm upstream, Instant at) {
            return true;
        }

        @Override
        public long fencingNumber(Vm upstream) {
            return 1;
        }
    }
}
