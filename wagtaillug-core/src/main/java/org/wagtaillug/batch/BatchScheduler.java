package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.batch.BatchCallEnd.PieceAnswer;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.node.Decision;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.BatchContract;

/**
 * Schedules the calls of stage pools for the orders of all nodes.
 *
 * <p>Batches items because a call has a fixed cost that dominates small batches. One queue for a pool fills the batches and
 * leaves no server idle while another has a queue. A call starts as soon as a server has a free slot; what arrives meanwhile
 * goes into the next one.
 */
public final class BatchScheduler {
    /** How long a piece may wait past its aim before it is given up. */
    public static final Duration LATE_GRACE = BatchQueue.LATE_GRACE;

    /** Retention of outcomes for nodes that resend an order after a lost reply. */
    private static final Duration OUTCOME_RETENTION = Duration.ofSeconds(5);

    /** Failed calls for each piece of an order before it is given up. */
    private static final int MAX_CALL_FAILURES = 2;

    /** Timeout of a call as a multiple of its expected duration, for servers that have turned slow. */
    private static final int CALL_TIMEOUT_FACTOR = 6;

    /** Releases of this time go to a server together. */
    private static final Duration RELEASE_FLUSH_INTERVAL = Duration.ofMillis(20);

    /** Retry delay for orders that are dropped past their grace. */
    private static final Duration OVERDUE_RETRY_AFTER = Duration.ofMillis(1000);

    /** Lower bound on the throughput share assumed for low priorities. */
    private static final double MIN_SHARE = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Reported for a pool with no usable server, or nearly none. */
    private static final double MAX_WAIT_SECONDS = 60;

    /** Shorter waits change no decision of another node. */
    private static final Duration MIN_PUBLISHED_WAIT = Duration.ofMillis(100);

    /** Bounds the size of heartbeats. */
    private static final int MAX_PUBLISHED_WAITS = 64;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    private final UpstreamDirectory directory;
    private final BatchOutput output;
    private final PolicyFeatures features;
    private final CallGate gate;
    private final Map<PoolId, BatchQueue> queues = new HashMap<>();
    private final Map<PoolId, PoolThroughput> paces = new HashMap<>();
    private final Map<PoolId, BatchContract> contracts = new HashMap<>();
    private final Map<VmId, StageServer> makers = new HashMap<>();
    private final Map<OrderId, OrderState> orders = new HashMap<>();
    private final Map<OrderId, PublishedOutcome> told = new LinkedHashMap<>();
    private final Map<Long, Calling> calls = new HashMap<>();
    private final Map<Long, Release> releases = new HashMap<>();
    private long lastCall;
    private long lastRelease;
    private Instant releaseDue = Instant.EPOCH;

    private record Release(StageServer maker, List<String> handles) {}

    private record PublishedOutcome(BatchOutcome outcome, Instant at) {}

    private record Calling(BatchCall call, List<BatchQueue.Waiting> pieces, StageServer maker, Instant startedAt) {
        PoolId pool() {
            return call.upstream().pool();
        }
    }

    /** Fills calls to all servers of a directory. */
    public BatchScheduler(UpstreamDirectory directory, BatchOutput output, PolicyFeatures features) {
        this(directory, output, features, CallGate.OPEN);
    }

    /** Fills calls to the servers of a directory that a gate allows. */
    public BatchScheduler(UpstreamDirectory directory, BatchOutput output, PolicyFeatures features, CallGate gate) {
        this.directory = directory;
        this.output = output;
        this.features = features;
        this.gate = gate;
    }

    /** Whether nothing waits and nothing is under way. */
    public boolean idle() {
        return calls.isEmpty() && orders.isEmpty();
    }

    /** A node wants pieces. It may ask again for the same ones when it has heard nothing. */
    public void onOrder(BatchOrder order, BatchContract contract, Instant now) {
        if (orders.containsKey(order.id())) {
            return;
        }
        PublishedOutcome before = told.get(order.id());
        if (before != null) {
            output.outcome(order, before.outcome(), now);
            return;
        }
        contracts.put(order.pool(), contract);
        OrderState state = new OrderState(order, contract);
        pace(order.pool()).onOrder(order, now);
        Optional<BatchOutcome> refusal = refusal(order, contract, now);
        if (refusal.isPresent()) {
            tell(state, refusal.get(), now);
            return;
        }
        orders.put(order.id(), state);
        BatchQueue queue = queues.computeIfAbsent(order.pool(), pool -> new BatchQueue(features));
        for (int piece = 0; piece < order.pieces(); piece++) {
            queue.add(new BatchQueue.Waiting(state, piece, now));
        }
        dispatch(order.pool(), now);
    }

    private PoolThroughput pace(PoolId pool) {
        return paces.computeIfAbsent(pool, id -> new PoolThroughput());
    }

    /** What is known not to be servable is refused at once. */
    private Optional<BatchOutcome> refusal(BatchOrder order, BatchContract contract, Instant now) {
        List<StageServer> usable = usableMakers(order.pool());
        if (usable.isEmpty()) {
            return Optional.of(new BatchOutcome.NotMade(BatchOutcome.Reason.NO_UPSTREAM, MIN_RETRY_AFTER));
        }
        Duration wait = features.uses(PolicyFeature.EARLY_REFUSAL)
                ? expectedWait(order.pool(), order.urgency().rank(), usable, now)
                : Duration.ZERO;
        Instant made = now.plus(wait).plus(contract.callOf(Math.min(order.pieces(), contract.batch())));
        Instant overdue = order.urgency().aim().plus(LATE_GRACE);
        // A request that comes back after its aim must not be refused for having missed it while the pool is free.
        boolean inUse = wait.isZero() || !made.isAfter(overdue);
        if (inUse && !made.isAfter(order.urgency().deadline())) {
            return Optional.empty();
        }
        Duration retryAfter = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
        return Optional.of(new BatchOutcome.NotMade(BatchOutcome.Reason.OVERLOADED, retryAfter));
    }

    /** How long what goes before a rank keeps the pool busy, what comes later with a lower rank included. */
    private Duration expectedWait(PoolId pool, int rank, List<StageServer> usable, Instant now) {
        BatchQueue queue = queues.get(pool);
        if (queue == null || queue.isEmpty()) {
            return Duration.ZERO;
        }
        BatchContract contract = contracts.get(pool);
        boolean observed = features.uses(PolicyFeature.OBSERVED_WAIT);
        double pieces = contract.batch() * (observed ? pace(pool).filled() : 1);
        double seconds = contract.callOf((int) Math.ceil(pieces)).toNanos() / NANOS_PER_SECOND;
        double perSecond = 0;
        for (StageServer maker : usable) {
            perSecond += contract.slots() * pieces / (seconds * Math.max(1, maker.slowness()));
        }
        double before = observed ? pace(pool).before(rank, now) : 0;
        double left = Math.max(perSecond - before, perSecond * MIN_SHARE);
        double wait = Math.min(queue.ahead(rank, now) / left, MAX_WAIT_SECONDS);
        return Duration.ofNanos(Math.round(wait * NANOS_PER_SECOND));
    }

    /** How long an order of a rank would wait for a pool whose calls are filled here. */
    public Duration waitOf(PoolId pool, int rank, Instant now) {
        return expectedWait(pool, rank, usableMakers(pool), now);
    }

    /** The waits that other nodes should know of before they begin a request. */
    public List<QueueDelayEstimate> waits(Instant now) {
        List<QueueDelayEstimate> waits = new ArrayList<>();
        for (PoolId pool : queues.keySet()) {
            for (int rank : pace(pool).ranks(now)) {
                Duration wait = waitOf(pool, rank, now);
                if (wait.compareTo(MIN_PUBLISHED_WAIT) >= 0 && waits.size() < MAX_PUBLISHED_WAITS) {
                    waits.add(new QueueDelayEstimate(pool, rank, wait));
                }
            }
        }
        return waits;
    }

    /** The node does not want the pieces any more: the request has ended. */
    public void onWithdrawn(OrderId id, Instant now) {
        OrderState state = orders.remove(id);
        if (state == null) {
            return;
        }
        state.end();
        queues.get(state.order().pool()).dropEnded();
        releaseAll(state.results());
        told.put(id, new PublishedOutcome(new BatchOutcome.NotMade(BatchOutcome.Reason.LATE, Duration.ZERO), now));
    }

    /**
     * Gives an order back of which no piece is made or being made, as if it had never come.
     *
     * @return whether it is given back; otherwise it stays
     */
    public boolean giveBack(OrderId id) {
        OrderState state = orders.get(id);
        if (state == null || !queues.get(state.order().pool()).holdsAllOf(state)) {
            return false;
        }
        orders.remove(id);
        state.end();
        queues.get(state.order().pool()).dropEnded();
        return true;
    }

    /** Results are no longer needed. */
    public void onReleased(List<StepResult> results) {
        releaseAll(results);
    }

    private void releaseAll(List<StepResult> results) {
        for (StepResult result : results) {
            maker(result.maker()).ifPresent(maker -> maker.released().add(result.handle()));
        }
    }

    private Optional<StageServer> maker(VmId id) {
        Optional<Upstream> upstream = directory.find(id);
        if (upstream.isEmpty()) {
            makers.remove(id);
            return Optional.empty();
        }
        StageServer known = makers.get(id);
        StageServer current = known == null
                ? new StageServer(upstream.get().listing())
                : known.refreshed(upstream.get().listing());
        makers.put(id, current);
        return Optional.of(current);
    }

    private List<StageServer> usableMakers(PoolId pool) {
        List<StageServer> usable = new ArrayList<>();
        for (Upstream upstream : directory.usable(pool)) {
            if (gate.allows(upstream.listing())) {
                maker(upstream.id()).ifPresent(usable::add);
            }
        }
        return usable;
    }

    private void dispatch(PoolId pool, Instant now) {
        BatchQueue queue = queues.get(pool);
        BatchContract contract = contracts.get(pool);
        if (queue == null || queue.isEmpty()) {
            return;
        }
        List<StageServer> usable = usableMakers(pool);
        usable.sort(Comparator.comparing((StageServer maker) -> !gate.preferred(maker.listing()))
                .thenComparingDouble(StageServer::slowness));
        Set<DomainId> domains = new HashSet<>();
        usable.forEach(maker -> domains.add(maker.listing().domain()));
        for (StageServer maker : usable) {
            while (gate.allows(maker.listing())
                    && maker.free(contract.slots(), now)
                    && worthUsing(maker, usable, queue, contract)) {
                if (!call(maker, domains, queue, contract, now)) {
                    break;
                }
            }
        }
    }

    /**
     * A server that has turned several times slower would hold the pieces of a call past their aim while the others could
     * take them next: it gets work only while more waits than the fastest one does in the time that it would take.
     */
    private static boolean worthUsing(
            StageServer maker, List<StageServer> usable, BatchQueue queue, BatchContract contract) {
        double fastest = Double.MAX_VALUE;
        for (StageServer each : usable) {
            fastest = Math.min(fastest, Math.max(1, each.slowness()));
        }
        double callsMeanwhile = Math.max(1, maker.slowness()) / fastest - 1;
        return queue.size() > (callsMeanwhile - 1) * contract.batch();
    }

    private boolean call(
            StageServer maker, Set<DomainId> domains, BatchQueue queue, BatchContract contract, Instant now) {
        long room = maker.room(contract, now);
        List<BatchQueue.Waiting> pieces =
                queue.take(contract.batch(), room, maker.listing().domain(), domains, now);
        if (pieces.isEmpty()) {
            return false;
        }
        long bytes = 0;
        List<BatchCall.Item> items = new ArrayList<>();
        for (BatchQueue.Waiting piece : pieces) {
            BatchOrder order = piece.order();
            bytes += order.resultBytes();
            Duration left = Duration.between(now, order.urgency().deadline());
            items.add(new BatchCall.Item(
                    order.request(), order.step(), piece.piece(), left, order.key(), order.inputs()));
        }
        maker.results().reserve(bytes);
        maker.began();
        gate.onCall(maker.listing());
        pace(maker.listing().pool()).onCall(pieces.size(), contract.batch(), !queue.isEmpty());
        lastCall++;
        Duration timeout = contract.callOf(pieces.size()).multipliedBy(CALL_TIMEOUT_FACTOR);
        BatchCall call = new BatchCall(lastCall, maker.listing(), items, timeout);
        calls.put(lastCall, new Calling(call, pieces, maker, now));
        output.call(call);
        output.decided(Decision.builder("piece_call")
                .field("call", lastCall)
                .field("upstream", maker.listing().id())
                .field("pool", maker.listing().pool())
                .field("pieces", pieces.size())
                .field("most", contract.batch())
                .field("longest_wait_ms", longestWait(pieces, now).toMillis())
                .field("first_request", pieces.getFirst().order().request())
                .field("still_waiting", queue.size())
                .field("room_bytes", room)
                .field("room_of", contract.roomBytes())
                .build());
        return true;
    }

    private static Duration longestWait(List<BatchQueue.Waiting> pieces, Instant now) {
        Instant earliest = now;
        for (BatchQueue.Waiting piece : pieces) {
            earliest = piece.since().isBefore(earliest) ? piece.since() : earliest;
        }
        return Duration.between(earliest, now);
    }

    /** A call has ended. */
    public void onCallEnded(long number, BatchCallEnd end, Instant now) {
        Calling calling = calls.remove(number);
        if (calling == null) {
            return;
        }
        for (BatchQueue.Waiting piece : calling.pieces()) {
            calling.maker().results().unreserve(piece.order().resultBytes());
        }
        switch (end) {
            case BatchCallEnd.Answered answered -> onAnswered(calling, answered.answers(), now);
            case BatchCallEnd.NotRun ignored -> {
                calling.maker().full(now);
                calling.pieces().forEach(this::wait);
            }
            case BatchCallEnd.Broken broken -> onBroken(calling, broken.reason(), now);
        }
        dispatch(calling.pool(), now);
    }

    private void wait(BatchQueue.Waiting piece) {
        if (!piece.state().ended()) {
            queues.get(piece.order().pool()).add(piece);
        }
    }

    private void onBroken(Calling calling, String reason, Instant now) {
        calling.maker().broke(now);
        gate.onCallEnded(
                calling.maker().listing(), true, Duration.between(calling.startedAt(), now), expected(calling));
        output.decided(Decision.builder("piece_call_broken")
                .field("call", calling.call().number())
                .field("upstream", calling.call().upstream().id())
                .field("pieces", calling.pieces().size())
                .field("reason", reason)
                .build());
        for (BatchQueue.Waiting piece : calling.pieces()) {
            again(piece, now);
        }
    }

    /** Another server may make the piece, once more. */
    private void again(BatchQueue.Waiting piece, Instant now) {
        if (piece.state().ended()) {
            return;
        }
        if (piece.state().failed() > MAX_CALL_FAILURES * piece.order().pieces()) {
            fail(piece.state(), BatchOutcome.Reason.FAILED, now);
            return;
        }
        wait(piece);
    }

    private void onAnswered(Calling calling, List<PieceAnswer> answers, Instant now) {
        Duration took = Duration.between(calling.startedAt(), now);
        calling.maker().answered(took, expected(calling));
        boolean anyFailed = answers.stream().anyMatch(PieceAnswer.Failed.class::isInstance);
        gate.onCallEnded(calling.maker().listing(), anyFailed, took, expected(calling));
        for (int place = 0; place < calling.pieces().size(); place++) {
            BatchQueue.Waiting piece = calling.pieces().get(place);
            PieceAnswer answer = place < answers.size() ? answers.get(place) : new PieceAnswer.Failed();
            if (!(answer instanceof PieceAnswer.Made)) {
                logNotMade(calling, piece, answer, now);
            }
            switch (answer) {
                case PieceAnswer.Made made -> onMade(calling, piece, made.handle(), now);
                case PieceAnswer.Late ignored -> fail(piece.state(), BatchOutcome.Reason.LATE, now);
                case PieceAnswer.InputsGone ignored -> fail(piece.state(), BatchOutcome.Reason.INPUTS_GONE, now);
                case PieceAnswer.NoRoom ignored -> {
                    long bytes = features.uses(PolicyFeature.ROOM_BY_SIZE)
                            ? piece.order().resultBytes()
                            : 1;
                    calling.maker().withoutRoom(bytes, now);
                    again(piece, now);
                }
                case PieceAnswer.Failed ignored -> again(piece, now);
            }
        }
    }

    private static Duration expected(Calling calling) {
        BatchContract contract = calling.pieces().getFirst().state().contract();
        return contract.callOf(calling.pieces().size());
    }

    private void logNotMade(Calling calling, BatchQueue.Waiting piece, PieceAnswer answer, Instant now) {
        output.decided(Decision.builder("piece_not_made")
                .field("request", piece.order().request())
                .field("step", piece.order().step())
                .field("piece", piece.piece())
                .field("call", calling.call().number())
                .field("upstream", calling.call().upstream().id())
                .field("answer", answer.getClass().getSimpleName())
                .field("waited_ms", Duration.between(piece.since(), now).toMillis())
                .build());
    }

    private void onMade(Calling calling, BatchQueue.Waiting piece, String handle, Instant now) {
        OrderState state = piece.state();
        StepResult result = new StepResult(handle, calling.call().upstream().id());
        Duration lifetime = state.contract().resultLifetime();
        calling.maker().results().hold(handle, state.order().resultBytes(), now, lifetime);
        if (state.ended()) {
            // It takes room until its server has heard that nobody wants it.
            releaseAll(List.of(result));
            return;
        }
        if (state.made(piece.piece(), result)) {
            tell(state, new BatchOutcome.Made(state.results()), now);
        }
    }

    private void fail(OrderState state, BatchOutcome.Reason reason, Instant now) {
        fail(state, new BatchOutcome.NotMade(reason, Duration.ZERO), now);
    }

    private void fail(OrderState state, BatchOutcome.NotMade outcome, Instant now) {
        if (state.ended()) {
            return;
        }
        releaseAll(state.results());
        tell(state, outcome, now);
    }

    /** It would be held while others go first; its caller may find room later. */
    private void giveUpOverdue(OrderState state, Instant now) {
        fail(state, new BatchOutcome.NotMade(BatchOutcome.Reason.OVERLOADED, OVERDUE_RETRY_AFTER), now);
    }

    private void tell(OrderState state, BatchOutcome outcome, Instant now) {
        state.end();
        orders.remove(state.order().id());
        BatchQueue queue = queues.get(state.order().pool());
        if (queue != null && !(outcome instanceof BatchOutcome.Made)) {
            queue.dropEnded();
        }
        told.put(state.order().id(), new PublishedOutcome(outcome, now));
        output.outcome(state.order(), outcome, now);
    }

    /** Gives up what has become hopeless, tries paused servers again and sends releases. */
    public void onTick(Instant now) {
        for (Map.Entry<PoolId, BatchQueue> entry : queues.entrySet()) {
            for (OrderState state : entry.getValue().hopeless(now)) {
                fail(state, BatchOutcome.Reason.LATE, now);
            }
            dispatch(entry.getKey(), now);
            for (OrderState state : entry.getValue().overdue(now)) {
                giveUpOverdue(state, now);
            }
        }
        forgetTold(now);
        sendReleases(now);
    }

    private void forgetTold(Instant now) {
        for (Iterator<PublishedOutcome> each = told.values().iterator(); each.hasNext(); ) {
            if (now.isBefore(each.next().at().plus(OUTCOME_RETENTION))) {
                return;
            }
            each.remove();
        }
    }

    /** The next tick tells servers of all releases, however short ago it has told them of others. */
    public void releaseAtOnce() {
        releaseDue = Instant.EPOCH;
    }

    private void sendReleases(Instant now) {
        if (now.isBefore(releaseDue)) {
            return;
        }
        releaseDue = now.plus(RELEASE_FLUSH_INTERVAL);
        for (StageServer maker : makers.values()) {
            if (!maker.released().isEmpty()) {
                lastRelease++;
                List<String> handles = List.copyOf(maker.released());
                maker.released().clear();
                releases.put(lastRelease, new Release(maker, handles));
                output.release(lastRelease, maker.listing(), handles);
            }
        }
    }

    /**
     * A release is over. Only now the room counts as free: a call that is sent beside a release may have its turn first,
     * and would find no room for its results.
     *
     * @param done whether the server has taken it; if not, the results stay until their lifetime ends
     */
    public void onReleaseEnded(long number, boolean done) {
        Release release = releases.remove(number);
        if (release != null && done) {
            release.handles().forEach(release.maker().results()::release);
        }
    }

    /** What waits for a pool, for the metrics. */
    public int waiting(PoolId pool) {
        BatchQueue queue = queues.get(pool);
        return queue == null ? 0 : queue.size();
    }

    /** The pools that pieces were ordered of. */
    public List<PoolId> pools() {
        return List.copyOf(queues.keySet());
    }
}
