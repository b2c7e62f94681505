package org.wagtaillug.benchmarks;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.LoadEstimate;
import org.wagtaillug.load.LoadView;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.routing.PrefixSegment;
import org.wagtaillug.routing.UpstreamChooser;
import org.wagtaillug.routing.UpstreamLimits;

/** Chooses among the upstreams of a pool by their load reports, and without them for comparison. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class LoadChoiceBenchmark {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("model");
    private static final DomainId DOMAIN = new DomainId("domain-1");

    /** The number of upstreams in the pool. */
    @Param({"112"})
    public int upstreams;

    /** Whether load reports enter the choice. */
    @Param({"OFF", "ON"})
    public Contention contention;

    private final PoolProfile engines = new PoolProfile(POOL, 370, 0, Optional.empty(), true);
    private final PoolProfile plain = new PoolProfile(POOL, 370, 0, Optional.empty(), false);
    private final UpstreamChooser.Prompt prompt = new UpstreamChooser.Prompt(
            List.of(new PrefixSegment("house", 2500), new PrefixSegment("session", 3800)), 9000, Optional.empty(), 0);
    private UpstreamChooser chooser;

    /** Creates the pool; each upstream has requests in flight and a report of another age. */
    @Setup
    public void pool() {
        UpstreamDirectory directory = new UpstreamDirectory();
        UpstreamHealth health = new UpstreamHealth();
        LoadView view = new LoadView();
        for (int number = 0; number < upstreams; number++) {
            VmId id = new VmId("10.3.0." + number);
            directory.onListing(new Listing(id, 1, POOL, id.value(), 80, DOMAIN, false, Duration.ZERO, ""), NOW);
            health.onStarted(id, NOW);
            health.onEnded(id, Optional.of(POOL), Duration.ofMillis(25), true, NOW);
            health.onStarted(id, NOW);
            view.onReport(id, new ServerLoad(8, number % 5, 8, number % 7 == 0 ? 2.5 : 1.1), NOW.minusMillis(number));
        }
        VmId self = new VmId("10.1.0.1");
        chooser = new UpstreamChooser(
                directory,
                health,
                new UpstreamLimits(new Roster(self), new WarmupRateLimiter(), new UpstreamLimits.ColdBound(1.5, 5)),
                DOMAIN,
                PolicyFeatures.ALL,
                new LoadEstimate(view, new ContentionSwitch(contention, PolicyFeatures.ALL), self));
    }

    /** Chooses an engine for a prompt with two segments. */
    @Benchmark
    public Optional<Upstream> chooseEngine() {
        return chooser.choose(engines, Set.of(), prompt, NOW);
    }

    /** Chooses a server for a plain request. */
    @Benchmark
    public Optional<Upstream> choosePlain() {
        return chooser.choose(plain, Set.of(), prompt, NOW);
    }
}
