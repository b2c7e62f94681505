package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.batch.BatchCallEnd.ItemAnswer;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.node.Decision;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.policy.ContentionSwitch;
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
    /** How long an item may wait past its latency target before its order is abandoned. */
    public static final Duration LATE_GRACE = BatchQueue.LATE_GRACE;

    /** Retention of outcomes for nodes that resend an order after a lost reply. */
    private static final Duration OUTCOME_RETENTION = Duration.ofSeconds(5);

    /** Failed calls per item of an order before the order fails. */
    private static final int MAX_CALL_FAILURES = 2;

    /** Calls with items of one order that may break off before the order fails, as its items may be what ends servers. */
    private static final int MAX_BROKEN_CALLS = 3;

    /** Timeout of a call as a multiple of its expected duration, for servers that have turned slow. */
    private static final int CALL_TIMEOUT_FACTOR = 6;

    /** Releases are collected for this long and sent to a server together. */
    private static final Duration RELEASE_FLUSH_INTERVAL = Duration.ofMillis(20);

    /** Retry delay for orders that are abandoned past their grace period. */
    private static final Duration OVERDUE_RETRY_AFTER = Duration.ofMillis(1000);

    private static final double NANOS_PER_SECOND = 1e9;

    /** Upper bound on the estimated wait, for pools with no or almost no usable servers. */
    private static final double MAX_WAIT_SECONDS = 60;

    /** Shorter waits are not published, because they change no decision of another node. */
    private static final Duration MIN_PUBLISHED_WAIT = Duration.ofMillis(100);

    /** Bounds the size of heartbeats. */
    private static final int MAX_PUBLISHED_WAITS = 64;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    private final UpstreamDirectory directory;
    private final BatchOutput output;
    private final PolicyFeatures features;
    private final CallGate gate;
    private final ReservationLedger reservations = new ReservationLedger();
    private final PoolEstimates estimates;
    private final Map<PoolId, BatchQueue> queues = new HashMap<>();
    private final Map<PoolId, BatchContract> contracts = new HashMap<>();
    private final Map<VmId, StageServer> servers = new HashMap<>();
    private final Map<OrderId, OrderState> orders = new HashMap<>();
    private final Map<OrderId, PublishedOutcome> publishedOutcomes = new LinkedHashMap<>();
    private final Map<Long, ActiveCall> calls = new HashMap<>();
    private final Map<Long, Release> releases = new HashMap<>();
    private long lastCallNumber;
    private long lastReleaseNumber;
    private Instant nextReleaseAt = Instant.EPOCH;

    private record Release(StageServer server, List<String> handles, Instant sentAt) {}

    private record PublishedOutcome(BatchOutcome outcome, Instant at) {}

    private record ActiveCall(
            BatchCall call, List<BatchQueue.QueuedItem> items, StageServer server, Instant startedAt) {
        PoolId pool() {
            return call.upstream().pool();
        }
    }

    /** Creates a scheduler for all servers of a directory. */
    public BatchScheduler(UpstreamDirectory directory, BatchOutput output, PolicyFeatures features) {
        this(directory, output, features, CallGate.OPEN);
    }

    /** Creates a scheduler for the servers of a directory that a gate allows. */
    public BatchScheduler(UpstreamDirectory directory, BatchOutput output, PolicyFeatures features, CallGate gate) {
        this(directory, output, features, gate, ContentionSwitch.off());
    }

    /** Creates a scheduler whose features for contended pools take effect by a switch. */
    public BatchScheduler(
            UpstreamDirectory directory,
            BatchOutput output,
            PolicyFeatures features,
            CallGate gate,
            ContentionSwitch contention) {
        this.estimates = new PoolEstimates(features, contention, gate);
        this.directory = directory;
        this.output = output;
        this.features = features;
        this.gate = gate;
    }

    /** Whether no order is open and no call is in progress. */
    public boolean idle() {
        return calls.isEmpty() && orders.isEmpty();
    }

    /** Accepts an order. A node resends an order that was not answered; duplicates are recognized by their id. */
    public void onOrder(BatchOrder order, BatchContract contract, Instant now) {
        if (orders.containsKey(order.id())) {
            return;
        }
        PublishedOutcome published = publishedOutcomes.get(order.id());
        if (published != null) {
            output.outcome(order, published.outcome(), now);
            return;
        }
        contracts.put(order.pool(), contract);
        OrderState state = new OrderState(order, contract);
        estimates.throughput(order.pool()).onOrder(order, now);
        if (reservations.onOrder(order)) {
            state.markReserved();
        }
        Optional<BatchOutcome> refusal = refusal(state, now);
        if (refusal.isPresent()) {
            publishOutcome(state, refusal.get(), now);
            return;
        }
        orders.put(order.id(), state);
        BatchQueue queue = queues.computeIfAbsent(order.pool(), this::newQueue);
        for (int item = 0; item < order.items(); item++) {
            queue.add(new BatchQueue.QueuedItem(state, item, now));
        }
        dispatch(order.pool(), now);
    }

    /** The outcome of an order that is refused on arrival because it cannot be served in time; empty if it is accepted. */
    private Optional<BatchOutcome> refusal(OrderState state, Instant now) {
        BatchOrder order = state.order();
        BatchContract contract = state.contract();
        List<StageServer> usable = usableServers(order.pool());
        if (usable.isEmpty()) {
            return Optional.of(new BatchOutcome.NotMade(BatchOutcome.Reason.NO_UPSTREAM, MIN_RETRY_AFTER));
        }
        if (state.reserved()) {
            return Optional.empty();
        }
        Duration wait = features.uses(PolicyFeature.EARLY_REFUSAL)
                ? expectedWait(order.pool(), order.urgency().rank(), usable, true, now)
                : Duration.ZERO;
        Instant finishedAt = now.plus(wait).plus(estimates.callOfOrder(order, contract, waiting(order.pool())));
        Instant overdue = order.urgency().targetTime().plus(LATE_GRACE);
        // A retry that arrives after its latency target must not be refused for that reason while the pool is idle.
        boolean withinGrace = wait.isZero() || !finishedAt.isAfter(overdue);
        if (withinGrace && !finishedAt.isAfter(order.urgency().deadline())) {
            return Optional.empty();
        }
        Duration retryAfter = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
        return Optional.of(new BatchOutcome.NotMade(BatchOutcome.Reason.OVERLOADED, retryAfter));
    }

    /**
     * Estimates how long an order of a rank waits: for the servers to end their pauses, or for items before it. Requests that
     * reserve learn of reserved items from the ledger, which knows when these arrive; waits for other nodes leave them out.
     */
    private Duration expectedWait(PoolId pool, int rank, List<StageServer> usable, boolean withReserved, Instant now) {
        Duration pause = estimates.shortestPause(usable, now);
        Duration queued = expectedQueueDelay(pool, rank, usable, withReserved, now);
        return pause.compareTo(queued) > 0 ? pause : queued;
    }

    /** Estimates how long items that are served before a rank keep the pool busy, including later ones of lower ranks. */
    private Duration expectedQueueDelay(
            PoolId pool, int rank, List<StageServer> usable, boolean withReserved, Instant now) {
        BatchQueue queue = queues.get(pool);
        if (queue == null || queue.isEmpty()) {
            return Duration.ZERO;
        }
        BatchContract contract = contracts.get(pool);
        double poolRate = estimates.poolRate(pool, contract, usable, now);
        int countAhead = queue.countAhead(rank, now);
        countAhead += withReserved ? reservations.itemsBefore(pool, rank, countAhead, poolRate, now) : 0;
        double wait = Math.min(countAhead / estimates.availableRate(pool, rank, poolRate, now), MAX_WAIT_SECONDS);
        return Duration.ofNanos(Math.round(wait * NANOS_PER_SECOND));
    }

    /** The expected duration of a full call, if it is observed and used instead of the configured one. */
    public Optional<Duration> fullCallDuration(PoolId pool) {
        return Optional.ofNullable(contracts.get(pool)).flatMap(contract -> estimates.fullCall(pool, contract));
    }

    /** Decides whether a pool can serve a step that will be ordered later, and reserves the capacity if so. */
    public Reservation.Answer onReservation(Reservation wanted, BatchContract contract, Instant now) {
        contracts.put(wanted.pool(), contract);
        BatchQueue queue = queues.computeIfAbsent(wanted.pool(), this::newQueue);
        PoolLoad load = estimates.load(wanted, contract, queue, usableServers(wanted.pool()), now);
        Reservation.Answer answer = reservations.request(wanted, load, now);
        output.logDecision(ReservationLedger.line(wanted, answer, now));
        return answer;
    }

    private BatchQueue newQueue(PoolId pool) {
        return new BatchQueue(features, estimates::nextCall);
    }

    /** Cancels a reservation whose request has ended. */
    public void onReservationCancelled(OrderId id) {
        reservations.cancel(id);
    }

    /** The number of items that are reserved at a pool. */
    public int reserved(PoolId pool) {
        return reservations.items(pool);
    }

    /** The expected queue delay of an order of a rank, for a pool that is scheduled by this node. */
    public Duration queueDelayOf(PoolId pool, int rank, Instant now) {
        return expectedWait(pool, rank, usableServers(pool), false, now);
    }

    /** The queue delays to publish to other nodes, which take them into account before they start a request. */
    public List<QueueDelayEstimate> waits(Instant now) {
        List<QueueDelayEstimate> waits = new ArrayList<>();
        for (PoolId pool : queues.keySet()) {
            for (int rank : estimates.throughput(pool).ranks(now)) {
                Duration wait = queueDelayOf(pool, rank, now);
                if (wait.compareTo(MIN_PUBLISHED_WAIT) >= 0 && waits.size() < MAX_PUBLISHED_WAITS) {
                    waits.add(new QueueDelayEstimate(pool, rank, wait));
                }
            }
        }
        return waits;
    }

    /** Cancels an order whose request has ended. */
    public void onWithdrawn(OrderId id, Instant now) {
        OrderState state = orders.remove(id);
        if (state == null) {
            return;
        }
        state.end();
        queues.get(state.order().pool()).dropEnded();
        queueReleases(state.results());
        publishedOutcomes.put(
                id, new PublishedOutcome(new BatchOutcome.NotMade(BatchOutcome.Reason.LATE, Duration.ZERO), now));
    }

    /** Withdraws the orders and cancels the reservations of the runs of a node before the given one, which have ended. */
    public void onOriginRestarted(NodeId current, Instant now) {
        for (OrderId id : List.copyOf(orders.keySet())) {
            if (id.ofRunBefore(current)) {
                onWithdrawn(id, now);
            }
        }
        reservations.cancelBefore(current);
    }

    /**
     * Removes an order if none of its items is finished or in progress, as if it had never arrived.
     *
     * @return whether the order was removed
     */
    public boolean withdrawIfUnstarted(OrderId id) {
        OrderState state = orders.get(id);
        if (state == null || !queues.get(state.order().pool()).containsAllItemsOf(state)) {
            return false;
        }
        orders.remove(id);
        state.end();
        queues.get(state.order().pool()).dropEnded();
        return true;
    }

    /** Releases results that are no longer needed. */
    public void onReleased(List<StepResult> results) {
        queueReleases(results);
    }

    private void queueReleases(List<StepResult> results) {
        for (StepResult result : results) {
            server(result.server()).ifPresent(server -> server.pendingReleases().add(result.handle()));
        }
    }

    private Optional<StageServer> server(VmId id) {
        Optional<Upstream> upstream = directory.find(id);
        if (upstream.isEmpty()) {
            servers.remove(id);
            return Optional.empty();
        }
        StageServer known = servers.get(id);
        StageServer current = known == null
                ? new StageServer(upstream.get().listing())
                : known.withListing(upstream.get().listing());
        servers.put(id, current);
        return Optional.of(current);
    }

    private List<StageServer> usableServers(PoolId pool) {
        List<StageServer> usable = new ArrayList<>();
        for (Upstream upstream : directory.usable(pool)) {
            if (gate.allows(upstream.listing())) {
                server(upstream.id()).ifPresent(usable::add);
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
        List<StageServer> usable = usableServers(pool);
        usable.sort(Comparator.comparing((StageServer server) -> !gate.preferred(server.listing()))
                .thenComparingDouble(StageServer::slowness));
        Set<DomainId> domains = new HashSet<>();
        usable.forEach(server -> domains.add(server.listing().domain()));
        for (StageServer server : usable) {
            while (gate.allows(server.listing())
                    && gate.ready(server.listing(), now)
                    && server.hasFreeSlot(contract.slots(), now)
                    && shouldUse(server, usable, queue, contract)) {
                if (!startCall(server, domains, queue, contract, now)) {
                    break;
                }
            }
        }
    }

    /**
     * Whether a slow server should get a call. A server that has become several times slower than the others would delay the
     * items of a call past their latency target although another server could take them next. It gets work only while more
     * items are queued than the fastest server completes during one of its calls.
     */
    private static boolean shouldUse(
            StageServer server, List<StageServer> usable, BatchQueue queue, BatchContract contract) {
        double fastest = Double.MAX_VALUE;
        for (StageServer each : usable) {
            fastest = Math.min(fastest, Math.max(1, each.slowness()));
        }
        double fastCallsMeanwhile = Math.max(1, server.slowness()) / fastest - 1;
        return queue.size() > (fastCallsMeanwhile - 1) * contract.batch();
    }

    private boolean startCall(
            StageServer server, Set<DomainId> domains, BatchQueue queue, BatchContract contract, Instant now) {
        long freeCapacity = server.freeCapacity(contract, now);
        List<BatchQueue.QueuedItem> queuedItems = queue.takeForCall(
                contract.batch(), freeCapacity, server.listing().domain(), domains, now);
        if (queuedItems.isEmpty()) {
            return false;
        }
        long bytes = 0;
        List<BatchCall.Item> items = new ArrayList<>();
        for (BatchQueue.QueuedItem item : queuedItems) {
            BatchOrder order = item.order();
            bytes += order.resultBytes();
            Duration timeLeft = Duration.between(now, order.urgency().deadline());
            items.add(new BatchCall.Item(
                    order.request(), order.step(), item.number(), timeLeft, order.key(), order.inputs()));
        }
        server.results().reserve(bytes);
        server.onCallStarted();
        gate.onCall(server.listing());
        gate.onRequest(server.listing(), now);
        estimates.throughput(server.listing().pool()).onCall(queuedItems.size(), contract.batch(), !queue.isEmpty());
        lastCallNumber++;
        Duration timeout = contract.callOf(queuedItems.size()).multipliedBy(CALL_TIMEOUT_FACTOR);
        BatchCall call = new BatchCall(lastCallNumber, server.listing(), items, timeout);
        calls.put(lastCallNumber, new ActiveCall(call, queuedItems, server, now));
        output.call(call);
        output.logDecision(Decision.builder("piece_call")
                .field("call", lastCallNumber)
                .field("upstream", server.listing().id())
                .field("pool", server.listing().pool())
                .field("pieces", queuedItems.size())
                .field("most", contract.batch())
                .field("longest_wait_ms", longestWait(queuedItems, now).toMillis())
                .field("first_request", queuedItems.getFirst().order().request())
                .field("still_waiting", queue.size())
                .field("room_bytes", freeCapacity)
                .field("room_of", contract.resultCapacityBytes())
                .build());
        return true;
    }

    private static Duration longestWait(List<BatchQueue.QueuedItem> items, Instant now) {
        Instant earliest = now;
        for (BatchQueue.QueuedItem item : items) {
            earliest = item.since().isBefore(earliest) ? item.since() : earliest;
        }
        return Duration.between(earliest, now);
    }

    /** The server of a call in progress; empty if there is no such call. */
    public Optional<VmId> serverOf(long call) {
        return Optional.ofNullable(calls.get(call))
                .map(active -> active.server().listing().id());
    }

    /** Processes the outcome of a call whose server announces nothing. */
    public void onCallEnded(long number, BatchCallEnd end, Instant now) {
        onCallEnded(number, end, Optional.empty(), now);
    }

    /**
     * Processes the outcome of a call.
     *
     * @param notice what the server announces in its answer; empty if it sent none
     */
    public void onCallEnded(long number, BatchCallEnd end, Optional<UpstreamNotice> notice, Instant now) {
        ActiveCall activeCall = calls.remove(number);
        if (activeCall == null) {
            return;
        }
        boolean successful = end instanceof BatchCallEnd.Answered;
        notice.ifPresent(announced ->
                gate.onAnswer(activeCall.server().listing(), announced, successful, activeCall.startedAt(), now));
        for (BatchQueue.QueuedItem item : activeCall.items()) {
            activeCall.server().results().unreserve(item.order().resultBytes());
        }
        switch (end) {
            case BatchCallEnd.Answered answered -> onAnswered(activeCall, answered.answers(), now);
            case BatchCallEnd.NotRun ignored -> {
                activeCall.server().onCallRefused(now);
                gate.onRejected(activeCall.server().listing(), now);
                activeCall.items().forEach(this::requeue);
            }
            case BatchCallEnd.Broken broken -> {
                recordBrokenCall(activeCall, now);
                onBroken(activeCall, broken.reason(), now);
            }
            case BatchCallEnd.Unsent unsent -> onBroken(activeCall, unsent.reason(), now);
        }
        dispatch(activeCall.pool(), now);
    }

    private void requeue(BatchQueue.QueuedItem item) {
        if (!item.state().ended()) {
            queues.get(item.order().pool()).add(item);
        }
    }

    /** Fails the orders whose calls keep breaking off, however many items they have. */
    private void recordBrokenCall(ActiveCall activeCall, Instant now) {
        Set<OrderState> states = new LinkedHashSet<>();
        activeCall.items().forEach(item -> states.add(item.state()));
        for (OrderState state : states) {
            if (!state.ended() && state.recordBrokenCall() >= MAX_BROKEN_CALLS) {
                fail(state, BatchOutcome.Reason.FAILED, now);
            }
        }
    }

    private void onBroken(ActiveCall activeCall, String reason, Instant now) {
        activeCall.server().onCallFailed(now);
        gate.onCallEnded(
                activeCall.server().listing(),
                true,
                Duration.between(activeCall.startedAt(), now),
                expected(activeCall));
        output.logDecision(Decision.builder("piece_call_broken")
                .field("call", activeCall.call().number())
                .field("upstream", activeCall.call().upstream().id())
                .field("pieces", activeCall.items().size())
                .field("reason", reason)
                .build());
        for (BatchQueue.QueuedItem item : activeCall.items()) {
            retry(item, now);
        }
    }

    /** Queues an item again after a failed call, unless its order has reached the retry limit. */
    private void retry(BatchQueue.QueuedItem item, Instant now) {
        if (item.state().ended()) {
            return;
        }
        if (item.state().recordFailure() > MAX_CALL_FAILURES * item.order().items()) {
            fail(item.state(), BatchOutcome.Reason.FAILED, now);
            return;
        }
        requeue(item);
    }

    private void onAnswered(ActiveCall activeCall, List<ItemAnswer> answers, Instant now) {
        Duration took = Duration.between(activeCall.startedAt(), now);
        activeCall
                .server()
                .onCallAnswered(took, estimates.onAnswered(activeCall.pool(), activeCall.items(), answers, took));
        boolean anyFailed = answers.stream().anyMatch(ItemAnswer.Failed.class::isInstance);
        gate.onCallEnded(activeCall.server().listing(), anyFailed, took, expected(activeCall));
        for (int place = 0; place < activeCall.items().size(); place++) {
            BatchQueue.QueuedItem item = activeCall.items().get(place);
            ItemAnswer answer = place < answers.size() ? answers.get(place) : new ItemAnswer.Failed();
            if (!(answer instanceof ItemAnswer.Made)) {
                logNotMade(activeCall, item, answer, now);
            }
            switch (answer) {
                case ItemAnswer.Made made -> onMade(activeCall, item, made.handle(), now);
                case ItemAnswer.Late ignored -> fail(item.state(), BatchOutcome.Reason.LATE, now);
                case ItemAnswer.InputsGone ignored -> fail(item.state(), BatchOutcome.Reason.INPUTS_GONE, now);
                case ItemAnswer.NoRoom ignored -> {
                    long bytes = features.uses(PolicyFeature.ROOM_BY_SIZE)
                            ? item.order().resultBytes()
                            : 1;
                    activeCall.server().onNoCapacity(bytes, now);
                    retry(item, now);
                }
                case ItemAnswer.Failed ignored -> retry(item, now);
            }
        }
    }

    private static Duration expected(ActiveCall activeCall) {
        BatchContract contract = activeCall.items().getFirst().state().contract();
        return contract.callOf(activeCall.items().size());
    }

    private void logNotMade(ActiveCall activeCall, BatchQueue.QueuedItem item, ItemAnswer answer, Instant now) {
        output.logDecision(Decision.builder("piece_not_made")
                .field("request", item.order().request())
                .field("step", item.order().step())
                .field("piece", item.number())
                .field("call", activeCall.call().number())
                .field("upstream", activeCall.call().upstream().id())
                .field("answer", answer.getClass().getSimpleName())
                .field("waited_ms", Duration.between(item.since(), now).toMillis())
                .build());
    }

    private void onMade(ActiveCall activeCall, BatchQueue.QueuedItem item, String handle, Instant now) {
        OrderState state = item.state();
        StepResult result = new StepResult(handle, activeCall.call().upstream().id());
        Duration lifetime = state.contract().resultLifetime();
        activeCall.server().results().add(handle, state.order().resultBytes(), now, lifetime);
        if (state.ended()) {
            // The result occupies capacity at its server until the server has processed the release.
            queueReleases(List.of(result));
            return;
        }
        if (state.recordResult(item.number(), result)) {
            publishOutcome(state, new BatchOutcome.Made(state.results()), now);
        }
    }

    private void fail(OrderState state, BatchOutcome.Reason reason, Instant now) {
        fail(state, new BatchOutcome.NotMade(reason, Duration.ZERO), now);
    }

    private void fail(OrderState state, BatchOutcome.NotMade outcome, Instant now) {
        if (state.ended()) {
            return;
        }
        queueReleases(state.results());
        publishOutcome(state, outcome, now);
    }

    /** Fails an order that more urgent ones keep delaying; its caller may retry later. */
    private void failOverdue(OrderState state, Instant now) {
        fail(state, new BatchOutcome.NotMade(BatchOutcome.Reason.OVERLOADED, OVERDUE_RETRY_AFTER), now);
    }

    private void publishOutcome(OrderState state, BatchOutcome outcome, Instant now) {
        state.end();
        orders.remove(state.order().id());
        BatchQueue queue = queues.get(state.order().pool());
        if (queue != null && !(outcome instanceof BatchOutcome.Made)) {
            queue.dropEnded();
        }
        publishedOutcomes.put(state.order().id(), new PublishedOutcome(outcome, now));
        output.outcome(state.order(), outcome, now);
    }

    /** Fails orders that miss their deadline or grace period, dispatches to servers that are usable again and sends releases. */
    public void onTick(Instant now) {
        for (Map.Entry<PoolId, BatchQueue> entry : queues.entrySet()) {
            for (OrderState state : entry.getValue().missingDeadline(now)) {
                fail(state, BatchOutcome.Reason.LATE, now);
            }
            dispatch(entry.getKey(), now);
            for (OrderState state : entry.getValue().overdue(now)) {
                failOverdue(state, now);
            }
        }
        for (Reservation expired : reservations.expire(now)) {
            output.logDecision(ReservationLedger.expiryLine(expired));
        }
        expireOutcomes(now);
        sendReleases(now);
    }

    private void expireOutcomes(Instant now) {
        for (Iterator<PublishedOutcome> each = publishedOutcomes.values().iterator(); each.hasNext(); ) {
            if (now.isBefore(each.next().at().plus(OUTCOME_RETENTION))) {
                return;
            }
            each.remove();
        }
    }

    /** Makes the next tick send all pending releases, regardless of the flush interval. */
    public void flushReleases() {
        nextReleaseAt = Instant.EPOCH;
    }

    private void sendReleases(Instant now) {
        if (now.isBefore(nextReleaseAt)) {
            return;
        }
        nextReleaseAt = now.plus(RELEASE_FLUSH_INTERVAL);
        for (StageServer server : servers.values()) {
            if (!server.pendingReleases().isEmpty() && gate.ready(server.listing(), now)) {
                gate.onRequest(server.listing(), now);
                lastReleaseNumber++;
                List<String> handles = List.copyOf(server.pendingReleases());
                server.pendingReleases().clear();
                releases.put(lastReleaseNumber, new Release(server, handles, now));
                output.release(lastReleaseNumber, server.listing(), handles);
            }
        }
    }

    /**
     * Processes the end of a release. The capacity counts as free only from now on: the server may process a call that was sent
     * concurrently with the release first, and would have no capacity for its results.
     *
     * @param done whether the server processed the release; if not, the results stay until their lifetime ends
     * @param notice what the server announces in its answer; empty if it sent none
     */
    public void onReleaseEnded(long number, boolean done, Optional<UpstreamNotice> notice, Instant now) {
        Release release = releases.remove(number);
        if (release == null) {
            return;
        }
        notice.ifPresent(
                announced -> gate.onAnswer(release.server().listing(), announced, done, release.sentAt(), now));
        if (done) {
            long before = release.server().results().usedBytes();
            release.handles().forEach(release.server().results()::release);
            long released = before - release.server().results().usedBytes();
            estimates.recentReleases(release.server().listing().pool()).onReleased(released, now);
        }
    }

    /** The number of items that are queued for a pool, for the metrics. */
    public int waiting(PoolId pool) {
        BatchQueue queue = queues.get(pool);
        return queue == null ? 0 : queue.size();
    }

    /** The pools for which orders have arrived. */
    public List<PoolId> pools() {
        return List.copyOf(queues.keySet());
    }
}
