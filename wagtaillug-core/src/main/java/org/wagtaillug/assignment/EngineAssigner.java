package org.wagtaillug.assignment;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.AttemptReport;
import org.wagtaillug.load.LoadView;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.route.EngineCapacity;

/**
 * Chooses the engines of one pool for the requests of all nodes.
 *
 * <p>Designed for 20 to 120 engines that get 3 to 10 requests a second each, with prompts of 700 to 50,000 tokens, of which
 * 15 in 100 are 2.5 times slower at any moment, changing every 0.6 s. Not thread-safe.
 *
 * <pre>{@code
 * Assignment assignment = assigner.assign(key, demand, directory.usable(pool), now);
 * }</pre>
 */
public final class EngineAssigner {
    /** The number of engines in an assignment: one may be at the limits of the asking node, or have failed there. */
    private static final int MAX_ENGINES = 3;

    /**
     * The weight of the delay of one running stream against the delay of a request before its first event. A stream is late
     * only if the pause exceeds what its callers accept, which takes several delays at once.
     */
    private static final double STREAM_DELAY_WEIGHT = 0.1;

    /** The same for the request's own stream and prompts that are expected to be read while it runs. */
    private static final double OWN_DELAY_WEIGHT = 0.1;

    /** The time in which an engine generates a token while it reads nothing, in seconds. */
    private static final double SECONDS_PER_OUTPUT_TOKEN = 0.0045;

    /** The same cost of a transfer as in {@code UpstreamChooser}. */
    private static final double CROSS_DOMAIN_TOKENS_PER_BYTE = 170 / 1e6;

    /** From this number of reported waiting requests on, an engine has no free slot, whatever its attempts here. */
    private static final double WAITING = 0.5;

    private final EngineCapacity capacity;
    private final Map<VmId, EngineState> engines = new HashMap<>();
    private final Map<AttemptKey, VmId> engineByAttempt = new HashMap<>();
    private final LoadView loads = new LoadView();
    private final Rendezvous rendezvous = new Rendezvous();

    /** An engine with its cost for a request. */
    private record Candidate(Upstream engine, AssignmentCost cost, double total, boolean free) {}

    /** Creates an instance that knows of no request. */
    public EngineAssigner(EngineCapacity capacity) {
        this.capacity = capacity;
    }

    /** The capacity of each engine. */
    public EngineCapacity capacity() {
        return capacity;
    }

    /**
     * Chooses the engines for a request, and counts it as sent to the first of them until a report says otherwise.
     *
     * @param usable the engines that accept requests
     */
    public Assignment assign(AttemptKey key, EngineDemand demand, List<Upstream> usable, Instant now) {
        end(key);
        List<Candidate> best = new ArrayList<>(MAX_ENGINES + 1);
        int compared = 0;
        for (Upstream engine : usable) {
            if (!demand.excluded().contains(engine.id())) {
                compared++;
                insert(best, candidate(engine, demand, now), demand);
            }
        }
        if (best.isEmpty()) {
            return Assignment.NONE;
        }
        Candidate first = best.getFirst();
        EngineState chosen = state(first.engine().id());
        Assignment.First reason = new Assignment.First(first.cost(), first.free(), chosen.reportAge(now));
        start(key, first.engine().id(), demand, now);
        List<VmId> ids = best.stream().map(candidate -> candidate.engine().id()).toList();
        return new Assignment(ids, Optional.of(reason), compared);
    }

    /** Inserts a candidate into the few best ones, which are in order. */
    private void insert(List<Candidate> best, Candidate candidate, EngineDemand demand) {
        int place = best.size();
        while (place > 0 && precedes(candidate, best.get(place - 1), demand)) {
            place--;
        }
        if (place < MAX_ENGINES) {
            best.add(place, candidate);
            if (best.size() > MAX_ENGINES) {
                best.removeLast();
            }
        }
    }

    private boolean precedes(Candidate one, Candidate other, EngineDemand demand) {
        if (one.free() != other.free()) {
            return one.free();
        }
        if (one.total() != other.total()) {
            return one.total() < other.total();
        }
        String subject =
                demand.segments().isEmpty() ? "" : demand.segments().getLast().id();
        return score(subject, one) > score(subject, other);
    }

    private long score(String subject, Candidate candidate) {
        return rendezvous.score(subject, candidate.engine().id().value());
    }

    private Candidate candidate(Upstream engine, EngineDemand demand, Instant now) {
        EngineState state = state(engine.id());
        double slowdown = state.usualLoad() ? 1 : loads.slowdown(engine.id(), now);
        long uncached = state.uncachedTokens(demand);
        boolean crosses = demand.inputsDomain().isPresent()
                && !demand.inputsDomain().get().equals(engine.domain());
        double generating = demand.outputTokens() * SECONDS_PER_OUTPUT_TOKEN * slowdown;
        AssignmentCost cost = new AssignmentCost(
                (state.unreadTokens() + uncached) * slowdown,
                // A slow engine also needs longer for each step of the streams between which it reads.
                state.streams() * uncached * STREAM_DELAY_WEIGHT * slowdown * slowdown,
                state.tokensPerSecond(now) * generating * OWN_DELAY_WEIGHT * slowdown,
                crosses ? demand.inputBytes() * CROSS_DOMAIN_TOKENS_PER_BYTE : 0);
        boolean free = state.fits(demand, capacity) && (state.usualLoad() || loads.waiting(engine.id(), now) < WAITING);
        return new Candidate(engine, cost, cost.total(), free);
    }

    private EngineState state(VmId engine) {
        EngineState known = engines.get(engine);
        return known != null ? known : engines.computeIfAbsent(engine, id -> new EngineState(capacity));
    }

    private void start(AttemptKey key, VmId engine, EngineDemand demand, Instant now) {
        state(engine).start(key, demand, now);
        engineByAttempt.put(key, engine);
    }

    private void end(AttemptKey key) {
        VmId engine = engineByAttempt.remove(key);
        if (engine != null) {
            state(engine).remove(key);
        }
    }

    /** Processes what a node reports of an attempt. */
    public void onReport(VmId node, AttemptReport report, Instant now) {
        AttemptKey key = new AttemptKey(node, report.request());
        report.load().ifPresent(load -> {
            loads.onReport(report.engine(), load, now);
            state(report.engine()).onReport(load, now);
        });
        boolean here = report.engine().equals(engineByAttempt.get(key));
        switch (report.state()) {
            case SENT -> {
                end(key);
                start(key, report.engine(), demand(report, now), now);
            }
            case ANSWERING -> {
                if (here) {
                    state(report.engine()).onAnswering(key);
                }
            }
            case ENDED -> {
                if (here) {
                    end(key);
                }
            }
        }
    }

    private static EngineDemand demand(AttemptReport report, Instant now) {
        return new EngineDemand(
                report.segments(),
                report.promptTokens(),
                report.outputTokens(),
                Optional.empty(),
                0,
                Set.of(),
                now.plus(report.deadlineLeft()));
    }

    /** Forgets the attempts of a node that has restarted. */
    public void onNodeRestarted(VmId node) {
        engineByAttempt.keySet().stream()
                .filter(key -> key.node().equals(node))
                .toList()
                .forEach(this::end);
    }

    /** Forgets what was known of an engine that has restarted. */
    public void onEngineRestarted(VmId engine) {
        loads.onRestarted(engine);
        engineByAttempt.values().removeIf(engine::equals);
        engines.remove(engine);
    }

    /**
     * Forgets attempts whose deadlines have passed, and engines that are not listed any more.
     *
     * @param listed the engines of the pool
     */
    public void onTick(Set<VmId> listed, Instant now) {
        engines.values().forEach(state -> state.expire(now));
        engineByAttempt
                .entrySet()
                .removeIf(entry -> !engines.containsKey(entry.getValue())
                        || !engines.get(entry.getValue()).has(entry.getKey()));
        loads.retain(listed);
        Set<VmId> gone = new HashSet<>(engines.keySet());
        gone.removeAll(listed);
        gone.forEach(engine -> {
            if (engines.get(engine).inFlight() == 0) {
                engines.remove(engine);
            }
        });
    }

    /** The attempts that count as in flight at an engine. */
    public int inFlight(VmId engine) {
        return engines.containsKey(engine) ? engines.get(engine).inFlight() : 0;
    }
}
