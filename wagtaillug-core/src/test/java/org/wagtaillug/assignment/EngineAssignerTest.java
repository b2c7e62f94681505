package org.wagtaillug.assignment;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.AttemptReport;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.route.EngineCapacity;
import org.wagtaillug.routing.PrefixSegment;

class EngineAssignerTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final DomainId NORTH = new DomainId("north");
    private static final DomainId SOUTH = new DomainId("south");
    private static final VmId NODE = new VmId("node-1");
    private static final VmId A = new VmId("engine-a");
    private static final VmId B = new VmId("engine-b");
    private static final PrefixSegment HOUSE = new PrefixSegment("house", 2500);
    private static final PrefixSegment SESSION = new PrefixSegment("session", 3800);

    private final List<Upstream> engines = List.of(engine(A, NORTH), engine(B, SOUTH));
    private EngineAssigner assigner = new EngineAssigner(EngineCapacity.UNKNOWN);
    private int requests;

    private static Upstream engine(VmId id, DomainId domain) {
        Listing listing = new Listing(id, 1, new PoolId("model"), "10.0.0.1", 80, domain, false, Duration.ZERO, "");
        return new Upstream(listing, Instant.EPOCH);
    }

    private static EngineDemand demand(int prompt, int output, PrefixSegment... segments) {
        return new EngineDemand(List.of(segments), prompt, output, Optional.empty(), 0, Set.of(), NOW.plusSeconds(6));
    }

    private AttemptKey key() {
        requests++;
        return new AttemptKey(NODE, new RequestId("request-" + requests));
    }

    private VmId choose(EngineDemand demand) {
        return assigner.assign(key(), demand, engines, NOW).engines().getFirst();
    }

    private void report(RequestId request, VmId engine, AttemptReport.State state, int prompt, ServerLoad load) {
        AttemptReport report = new AttemptReport(
                request, 1, engine, state, List.of(), prompt, 50, Duration.ofSeconds(6), Optional.ofNullable(load));
        assigner.onReport(NODE, report, NOW);
    }

    /** Starts a request at an engine, whose prompt has been read unless it is said to be unread. */
    private RequestId run(VmId engine, int prompt, boolean unread) {
        RequestId request = key().request();
        report(request, engine, AttemptReport.State.SENT, prompt, null);
        if (!unread) {
            report(request, engine, AttemptReport.State.ANSWERING, 0, null);
        }
        return request;
    }

    private void slow(VmId engine) {
        RequestId request = key().request();
        report(request, engine, AttemptReport.State.ENDED, 0, new ServerLoad(1, 0, 8, 2.5));
    }

    /** Guards against two prompts being read one after the other while another engine is idle. */
    @Test
    void anEngineThatReadsAPromptIsAvoided() {
        run(A, 3000, true);
        assertThat(choose(demand(1000, 50))).isEqualTo(B);
    }

    /** Guards against a long prompt that pauses many streams. */
    @Test
    void aLongPromptGoesToTheEngineWithFewStreams() {
        for (int stream = 0; stream < 6; stream++) {
            run(A, 10, false);
        }
        run(B, 4000, true);
        assertThat(choose(demand(20_000, 50))).isEqualTo(B);
    }

    /** Guards against a long stream where many prompts are read. */
    @Test
    void aLongStreamGoesToTheEngineThatReadsLittle() {
        for (int prompt = 0; prompt < 4; prompt++) {
            report(run(A, 10_000, false), A, AttemptReport.State.ENDED, 0, null);
        }
        run(B, 500, true);
        assertThat(choose(demand(600, 400))).isEqualTo(B);
        assertThat(choose(demand(600, 0))).isEqualTo(A);
    }

    /** Guards against prompts at an engine whose work takes 2.5 times as long, until its report is old. */
    @Test
    void aSlowEngineIsAvoidedUntilItsReportIsOld() {
        slow(A);
        run(B, 1000, true);
        assertThat(choose(demand(4000, 50))).isEqualTo(B);
        Assignment later = assigner.assign(key(), demand(4000, 50), engines, NOW.plusSeconds(3));
        assertThat(later.engines()).startsWith(A);
        assertThat(later.first().orElseThrow().reportAge()).contains(Duration.ofSeconds(3));
    }

    /** Guards against an engine that reads a session's segments again, and against counting a segment without the one before. */
    @Test
    void theEngineThatHasTheSegmentsCachedIsPreferred() {
        VmId first = choose(demand(7000, 50, HOUSE, SESSION));
        report(new RequestId("request-1"), first, AttemptReport.State.ENDED, 0, null);
        assertThat(choose(demand(7000, 50, HOUSE, SESSION))).isEqualTo(first);
        report(new RequestId("request-2"), first, AttemptReport.State.ENDED, 0, null);
        Assignment other =
                assigner.assign(key(), demand(7000, 0, new PrefixSegment("other", 2500), SESSION), engines, NOW);
        assertThat(other.first().orElseThrow().cost().reading()).isEqualTo(7000);
    }

    /** Guards against an engine that gets more requests, or more tokens, than it can hold. */
    @Test
    void anEngineWithoutFreeCapacityIsTheLastChoice() {
        assigner = new EngineAssigner(new EngineCapacity(2, 20_000));
        RequestId one = run(A, 100, false);
        run(A, 100, false);
        run(B, 15_000, true);
        assertThat(choose(demand(1000, 50))).isEqualTo(B);
        report(one, A, AttemptReport.State.ENDED, 0, null);
        assertThat(choose(demand(6000, 50))).isEqualTo(A);
        Assignment full = assigner.assign(key(), demand(6000, 50), engines, NOW);
        assertThat(full.engines()).hasSize(2);
        assertThat(full.first().orElseThrow().free()).isFalse();
    }

    /** Guards against inputs that cross failure domains without need. */
    @Test
    void theEngineNearTheInputsIsPreferred() {
        for (DomainId domain : List.of(NORTH, SOUTH)) {
            EngineDemand near = new EngineDemand(
                    List.of(), 1000, 50, Optional.of(domain), 20_000_000, Set.of(), NOW.plusSeconds(6));
            AttemptKey key = key();
            VmId chosen = assigner.assign(key, near, engines, NOW).engines().getFirst();
            assertThat(chosen).isEqualTo(domain.equals(NORTH) ? A : B);
            report(key.request(), chosen, AttemptReport.State.ENDED, 0, null);
        }
    }

    /** Guards against requests of failed nodes, restarted nodes and restarted engines that count for ever. */
    @Test
    void attemptsAreForgottenAtTheirDeadlinesAndOnRestarts() {
        run(A, 100, false);
        run(B, 100, true);
        assigner.onEngineRestarted(A);
        assertThat(assigner.inFlight(A)).isZero();
        assertThat(assigner.inFlight(B)).isOne();
        assigner.onNodeRestarted(NODE);
        assertThat(assigner.inFlight(B)).isZero();
        run(A, 100, false);
        assigner.onTick(Set.of(A, B), NOW.plusSeconds(5));
        assertThat(assigner.inFlight(A)).isOne();
        assigner.onTick(Set.of(A, B), NOW.plusSeconds(7));
        assertThat(assigner.inFlight(A)).isZero();
    }

    /** Guards against an excluded engine being assigned, and against a request that counts at two engines. */
    @Test
    void aRetryCountsOnlyAtItsNewEngine() {
        AttemptKey key = key();
        VmId first =
                assigner.assign(key, demand(100, 10), engines, NOW).engines().getFirst();
        EngineDemand retry =
                new EngineDemand(List.of(), 100, 10, Optional.empty(), 0, Set.of(first), NOW.plusSeconds(6));
        List<VmId> again = assigner.assign(key, retry, engines, NOW).engines();
        assertThat(again).hasSize(1).doesNotContain(first);
        assertThat(assigner.inFlight(first)).isZero();
        assertThat(assigner.assign(key(), demand(1, 1), new ArrayList<>(), NOW)).isEqualTo(Assignment.NONE);
    }
}
