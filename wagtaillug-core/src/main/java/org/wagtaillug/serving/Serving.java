package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.wagtaillug.batch.CallGate;
import org.wagtaillug.clock.WallClock;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.feed.ConfigurationItem;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedPosition;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.ContentionReport;
import org.wagtaillug.load.LoadView;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.peer.Peers;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.ServingConfiguration;

/**
 * The decision logic of one node that routes by host and path: an event-driven state machine without I/O. Not
 * thread-safe; all calls must come from one thread.
 *
 * <pre>{@code
 * List<ServingEffect> effects = serving.handle(new ServingEvent.RequestArrived(request), now);
 * }</pre>
 */
public final class Serving {
    /**
     * Tick interval while this node schedules batches; releases, full servers and overdue items are handled on ticks.
     */
    private static final Duration SCHEDULING_TICK = Duration.ofMillis(20);

    /** Tick interval while requests, or the startup of the node itself, wait for a timer. */
    private static final Duration REQUEST_TICK = Duration.ofMillis(50);

    /** Tick interval otherwise. Heartbeats, feed reads and deadlines of open streams tolerate this delay. */
    private static final Duration IDLE_TICK = Duration.ofMillis(200);

    /**
     * Minimum interval between two runs of heartbeats, peer monitoring and feed maintenance, however short the ticks
     * are.
     */
    private static final Duration HOUSEKEEPING_INTERVAL = Duration.ofMillis(100);

    /** If the wall clock gains more than this at once, this process may have been suspended while its time stood still. */
    private static final Duration MIN_SUSPENSION = Duration.ofSeconds(1);

    private final ServingSetup setup;
    private final List<ServingEffect> effects = new ArrayList<>();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamHealth health = new UpstreamHealth();
    private final WallClock wallClock = new WallClock();
    private final ContentionSwitch contention;
    private final Peers peers;
    private final PeerMembership membership;
    private final FeedExchange feeds;
    private final RolloutExchange rollouts;
    private final NoticeExchange notices;
    private final UpstreamPaths paths;
    private final VersionHistory versions;
    private final StreamExchange streams;
    private final QuarantineExchange quarantine;
    private final AssignmentExchange assignments;
    private final StepOrders orders;
    private final ReservationExchange reservations;
    private final RequestFlows flows;
    private final Shutdown shutdown;
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private Optional<Boolean> reportedReady = Optional.empty();
    private Instant currentTime = Instant.EPOCH;
    private Instant housekeepingDue = Instant.EPOCH;
    private boolean readerLimitsEnabled;

    /** Creates a node that has read no feed yet. */
    public Serving(ServingSetup setup) {
        this.setup = setup;
        contention = new ContentionSwitch(setup.contention(), setup.features());
        Roster roster = new Roster(setup.self().vm());
        peers = new Peers(setup.self().vm(), setup.seeds(), roster);
        shutdown = new Shutdown(setup.drainGrace());
        membership = new PeerMembership(setup, roster, peers, contention, effects::add, () -> !shutdown.started());
        feeds = new FeedExchange(peers, effects::add, this::onFeedRecord);
        feeds.onRestored(this::onStoreRestored);
        rollouts = new RolloutExchange(setup, directory, effects::add);
        LoadView loadView = new LoadView();
        notices = new NoticeExchange(directory, roster, wallClock, contention, loadView, effects::add);
        CallGate callGate = new NoticeCallGate(rollouts.callGate(), notices);
        paths = new UpstreamPaths(setup, directory, health, peers, effects::add);
        orders = new StepOrders(setup, peers, directory, callGate, contention, effects::add, () -> !shutdown.started());
        reservations = new ReservationExchange(setup.self(), contention, peers, orders, effects::add);
        versions = new VersionHistory(
                directory, time -> feeds.readSince(FeedName.POOL_VERSIONS, time), feeds::storeLost, effects::add);
        streams = new StreamExchange(setup, peers, versions, () -> !shutdown.started(), effects::add);
        quarantine = new QuarantineExchange(setup, peers, () -> !shutdown.started(), effects::add);
        UpstreamState upstreams = new UpstreamState(
                directory,
                health,
                paths,
                wallClock,
                time -> feeds.confirm(FeedName.DIRECTORY, time, currentTime),
                contention,
                loadView);
        assignments =
                new AssignmentExchange(setup, peers, upstreams, rollouts, () -> !shutdown.started(), effects::add);
        flows = new RequestFlows(
                setup,
                upstreams,
                roster,
                orders,
                new Exchanges(rollouts, notices, streams, quarantine, assignments, reservations),
                shutdown,
                effects::add);
        orders.onAnswer(answer -> flows.onStepAnswer(answer, currentTime));
    }

    /** Processes one event and returns the resulting effects, in the order in which they must be carried out. */
    public List<ServingEffect> handle(ServingEvent event, Instant now) {
        currentTime = now;
        switch (event) {
            case ServingEvent.Tick ignored -> onTick(now);
            case ServingEvent.RequestArrived arrived -> onRequest(arrived.request(), now);
            case ServingEvent.CallerDisconnected disconnected ->
                flows.onCallerDisconnected(disconnected.request(), now);
            case ServingEvent.AnswerStarted started -> flows.onAnswerStarted(started, now);
            case ServingEvent.EventPassed passed -> flows.onEventPassed(passed, now);
            case ServingEvent.SendEnded ended -> flows.onSendEnded(ended, now);
            case ServingEvent.BatchCallEnded ended -> {
                orders.scheduler()
                        .serverOf(ended.call())
                        .ifPresent(server -> paths.onCallEnded(server, ended.end(), now));
                orders.scheduler().onCallEnded(ended.call(), ended.end(), ended.notice(), now);
            }
            case ServingEvent.ConnectEnded ended -> onConnectEnded(ended, now);
            case ServingEvent.TunnelRequested requested -> paths.onTunnelRequested(requested, !shutdown.started(), now);
            case ServingEvent.ReleaseEnded ended ->
                orders.scheduler().onReleaseEnded(ended.release(), ended.done(), ended.notice(), now);
            case ServingEvent.PeerMessageReceived received -> onPeerMessage(received.sender(), received.message(), now);
            case ServingEvent.PeerConnected connected -> {
                peers.onConnected(connected.peer(), now);
                effects.add(new ServingEffect.SendToPeer(connected.peer(), heartbeat(false, now)));
            }
            case ServingEvent.PeerDisconnected disconnected -> peers.onDisconnected(disconnected.peer(), now);
            case ServingEvent.FeedListed listed -> {
                feeds.onListed(listed, now);
                onFeedAnswered(listed.feed(), now);
            }
            case ServingEvent.FeedRead read -> {
                feeds.onRead(read, now);
                onFeedAnswered(read.feed(), now);
            }
            case ServingEvent.FeedTruncated truncated -> feeds.onTruncated(truncated.feed(), now);
            case ServingEvent.FeedFailed failed -> {
                if (feeds.onFailed(failed, now)) {
                    membership.notifyFollowers(heartbeat(true, now), now);
                }
            }
            case ServingEvent.RecordWritten written -> onRecordWritten(written, now);
            case ServingEvent.DrainStarted started -> onDrainStarted(started.requestedAt(), now);
            case ServingEvent.WallClockSet set -> onWallClockSet(set.offset());
            case ServingEvent.PortsClosing ignored -> shutdown.closePorts();
        }
        if (paths.pollChanged(now)) {
            membership.onPathsChanged(paths, heartbeat(true, now), now);
            housekeepingDue = now;
        }
        if (quarantine.reportDue()) {
            // The next upstream under the same request may crash before the usual housekeeping.
            housekeepingDue = now;
        }
        if (quarantine.pollChanged()) {
            flows.onQuarantineChanged(now);
            sendQuarantineReports(now);
        }
        feeds.setActive(FeedName.ROLLOUTS, rollouts.inProgress());
        feeds.setActive(FeedName.POOL_VERSIONS, versions.active(now));
        if (versions.readDue(now)) {
            feeds.request(FeedName.POOL_VERSIONS, now);
        }
        feeds.read(now);
        reportReadiness();
        enableReaderLimits();
        List<ServingEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }

    private void enableReaderLimits() {
        if (!readerLimitsEnabled && contention.uses(PolicyFeature.READER_LIMITS)) {
            readerLimitsEnabled = true;
            effects.add(new ServingEffect.ReaderLimitsEnabled());
        }
    }

    private void onFeedAnswered(FeedName name, Instant now) {
        if (name == FeedName.POOL_VERSIONS) {
            flows.onStreamsAnswered(now);
        }
        flows.onDirectoryRead(now);
    }

    private void onConnectEnded(ServingEvent.ConnectEnded ended, Instant now) {
        if (ended.failure().isPresent()) {
            directory.find(ended.upstream()).ifPresent(upstream -> quarantine.onConnectionRefused(upstream, now));
        }
        paths.onConnectEnded(ended, now);
        flows.onConnectEnded(ended, now);
    }

    private void onWallClockSet(Duration offset) {
        Duration change = wallClock.set(offset);
        log(Decision.builder("wall_clock").field("offset_ms", offset.toMillis()).field("change_ms", change.toMillis()));
        if (change.compareTo(MIN_SUSPENSION) > 0) {
            feeds.onSuspended();
            versions.onSuspended();
        }
    }

    private void onRecordWritten(ServingEvent.RecordWritten written, Instant now) {
        switch (written.feed()) {
            case MEMBERSHIP -> membership.onRecordWritten(written, now);
            case STREAMS -> streams.onWritten(written);
            case QUARANTINE -> quarantine.onWritten(written, now);
            case POOL_VERSIONS -> versions.onWritten(now);
            case CONFIGURATION, DIRECTORY, ROLLOUTS -> {
                // A rollout status that was not written is written again when it is due.
            }
        }
    }

    private void onTick(Instant now) {
        if (!now.isBefore(housekeepingDue)) {
            housekeepingDue = now.plus(HOUSEKEEPING_INTERVAL);
            runHousekeeping(now);
        }
        assignments.onTick(now);
        flows.onTick(now);
        if (shutdown.started()) {
            advanceShutdown(now);
        }
        orders.onTick(now);
        if (shutdown.pollFinished(flows.size() == 0 && orders.idle(), now)) {
            log(Decision.builder("shutdown_ends")
                    .field("since_signal_ms", shutdown.since(now).toMillis())
                    .field("reason", shutdown.outOfTime(now) ? "grace period elapsed" : "all requests answered")
                    .field("orders", orders.size()));
            effects.add(new ServingEffect.DrainFinished());
        }
    }

    private void runHousekeeping(Instant now) {
        for (VmId expired : directory.onTick(now)) {
            log(Decision.builder("upstream_lapsed").field("upstream", expired));
        }
        for (Listing listing : directory.pollReappeared(now)) {
            directory.onListing(listing, now);
            log(Decision.builder("upstream_reappeared").field("upstream", listing.id()));
        }
        notices.onTick(now);
        assignments.onHousekeeping(now);
        paths.onTick(now);
        membership.onTick(feeds.complete(FeedName.MEMBERSHIP), orders.partners(), reply -> heartbeat(reply, now), now);
        feeds.setReader(membership.readsStore(now));
        streams.onTick(feeds.fresh(FeedName.STREAMS, now), now);
        feeds.setActive(FeedName.STREAMS, streams.isReplica());
        recordVersions(now);
        quarantine.onTick(now);
        feeds.setActive(FeedName.QUARANTINE, quarantine.decides(now));
        if (quarantine.pollReadDue(now)) {
            feeds.request(FeedName.QUARANTINE, now);
        }
        sendQuarantineReports(now);
        onRolloutTick(now);
        feeds.catchUp(now);
    }

    private void recordVersions(Instant now) {
        boolean directoryKnown = feeds.complete(FeedName.DIRECTORY)
                && (feeds.fresh(FeedName.DIRECTORY, now) || peers.noneReadsStore(now));
        OptionalLong position = feeds.fresh(FeedName.POOL_VERSIONS, now)
                ? OptionalLong.of(feeds.position(FeedName.POOL_VERSIONS))
                : OptionalLong.empty();
        versions.onTick(streams.isWriter(now), directoryKnown, position, now);
    }

    private void sendQuarantineReports(Instant now) {
        for (VmId receiver : quarantine.pollReceivers(now)) {
            effects.add(new ServingEffect.SendToPeer(receiver, heartbeat(true, now)));
        }
    }

    private void onRolloutTick(Instant now) {
        boolean inProgress = rollouts.inProgress();
        membership.setRolloutInProgress(inProgress);
        if (inProgress) {
            rollouts.onTick(
                    membership.rolloutCoordinator(now),
                    feeds.fresh(FeedName.ROLLOUTS, now),
                    feeds.position(FeedName.ROLLOUTS),
                    now);
        }
    }

    private void advanceShutdown(Instant now) {
        if (shutdown.pollReadinessPropagated(now)) {
            effects.add(new ServingEffect.CloseIdleConnections());
        }
        flows.refuseUnanswerable(now);
        if (shutdown.outOfTime(now)) {
            flows.failAll(now);
            // Unreleased results would occupy room at their stage servers, for all nodes, until their lifetime ends.
            orders.scheduler().flushReleases();
        }
    }

    private void onDrainStarted(Instant requestedAt, Instant now) {
        shutdown.start(requestedAt);
        log(Decision.builder("shutdown_begins")
                .field("since_signal_ms", shutdown.since(now).toMillis())
                .field("grace_ms", setup.drainGrace().toMillis())
                .field("requests", flows.size())
                .field("orders", orders.size()));
    }

    private void onRequest(RoutedRequest request, Instant now) {
        if (configuration.isEmpty()) {
            // Without a configuration, an unknown path cannot be told from a route that has not been read yet.
            String message = "node has not read its configuration yet; retry on another node";
            effects.add(new ServingEffect.Refuse(
                    request.id(), Refusal.notRun(ResultCode.NOT_READY, RequestFlows.DEFAULT_RETRY_AFTER, message)));
            effects.add(new ServingEffect.Finished(
                    request.id(), RequestFlows.NO_ROUTE, ServingEffect.Outcome.REFUSED, Duration.ZERO));
            return;
        }
        flows.onRequest(request, now);
    }

    private ServingMessage.Heartbeat heartbeat(boolean reply, Instant now) {
        return new ServingMessage.Heartbeat(
                reply,
                !shutdown.started(),
                feeds.follows(now),
                feeds.storeLost(),
                feeds.positions(),
                orders.scheduler().waits(now),
                notices.rateLimits().reports(now),
                directory.departures(now),
                paths.report(),
                true,
                quarantine.report(now),
                new ContentionReport(true, contention.announced()));
    }

    private void onPeerMessage(NodeId sender, ServingMessage message, Instant now) {
        if (message instanceof ServingMessage.Reply reply && !reply.isFor(setup.self())) {
            onReplyToEarlierRun(sender, reply);
            return;
        }
        switch (message) {
            case ServingMessage.Heartbeat heartbeat -> {
                notices.onHeartbeat(sender, heartbeat, now);
                quarantine.onReport(sender, heartbeat.quarantine(), now);
                if (heartbeat.contention().announced()) {
                    onContentionAnnounced(sender);
                }
                if (membership.onHeartbeat(sender, heartbeat, reply -> heartbeat(reply, now), now)) {
                    orders.onPeerRestarted(sender, now);
                    streams.onPeerRestarted(sender.vm());
                    assignments.onPeerRestarted(sender.vm());
                }
            }
            case ServingMessage.FeedRequest request -> feeds.onFeedRequest(sender.vm(), request);
            case ServingMessage.FeedCatchUp catchUp -> feeds.onFeedCatchUp(catchUp, now);
            case ServingMessage.FeedUpdate update -> {
                feeds.onUpdate(sender.vm(), update, now);
                flows.onDirectoryRead(now);
            }
            case ServingMessage.BatchRequest request -> onBatchRequest(sender, request, now);
            case ServingMessage.BatchReply reply -> orders.onBatchReply(sender, reply, now);
            case ServingMessage.BatchCancellation cancellation ->
                orders.onBatchCancellation(sender, cancellation.number(), now);
            case ServingMessage.RolloutReport report -> rollouts.onReport(report, now);
            case ServingMessage.StreamsBegan began -> streams.onStreamsBegan(began, now);
            case ServingMessage.StreamQuery query -> streams.onQuery(sender.vm(), query, now);
            case ServingMessage.StreamReply reply -> {
                streams.onReply(sender.vm(), reply, now);
                flows.onStreamsAnswered(now);
            }
            case ServingMessage.ResultsReleased released -> orders.scheduler().onReleased(released.results());
            case ServingMessage.ReservationRequest request ->
                contractOf(request.pool())
                        .ifPresent(contract -> reservations.onRequest(sender, request, contract, now));
            case ServingMessage.ReservationReply reply ->
                reservations.onReply(sender.vm(), reply, now).ifPresent(id -> flows.onReservationAnswered(id, now));
            case ServingMessage.ReservationCancellation cancellation ->
                reservations.onCancellation(sender, cancellation);
            case ServingMessage.AssignmentRequest request -> assignments.onRequest(sender, request, now);
            case ServingMessage.AssignmentReply reply -> {
                assignments.onReply(sender, reply, now);
                flows.onAssigned(now);
            }
            case ServingMessage.AssignmentUpdate update -> assignments.onUpdate(sender, update, now);
        }
    }

    /** Drops a reply to a run of this node that has ended; its number may be that of another message of this run. */
    private void onReplyToEarlierRun(NodeId sender, ServingMessage.Reply reply) {
        log(Decision.builder("reply_to_earlier_run")
                .field("peer", sender)
                .field("recipient", reply.recipient().orElseThrow())
                .field("message", reply.getClass().getSimpleName()));
        if (reply instanceof ServingMessage.BatchReply batch) {
            orders.onReplyToEarlierRun(sender, batch);
        }
    }

    /** An upstream has announced to another node how long its work takes. */
    private void onContentionAnnounced(Object source) {
        if (contention.onAnnounced()) {
            log(Decision.builder("contention").field("source", source));
        }
    }

    private Optional<BatchContract> contractOf(PoolId pool) {
        return configuration.flatMap(latest -> latest.pool(pool)).flatMap(PoolProfile::items);
    }

    private void onBatchRequest(NodeId sender, ServingMessage.BatchRequest request, Instant now) {
        Optional<BatchContract> contract = contractOf(request.pool());
        if (contract.isEmpty()) {
            // This node does not know the pool yet; the sender repeats the order.
            return;
        }
        orders.onBatchRequest(sender, request, contract.get(), now);
    }

    private boolean onFeedRecord(FeedName name, FeedRecord record, boolean storeUnstable, Instant now) {
        return switch (name) {
            case CONFIGURATION -> {
                onConfigurationRecord(record, storeUnstable, now);
                yield true;
            }
            case DIRECTORY -> onDirectoryRecord(record, storeUnstable, now);
            case MEMBERSHIP -> {
                membership.onRecord(record, now);
                yield true;
            }
            case ROLLOUTS -> {
                rollouts.onRecord(record, now);
                yield true;
            }
            case STREAMS -> {
                streams.onRecord(record, now);
                yield true;
            }
            case QUARANTINE -> {
                quarantine.onRecord(record, now);
                yield true;
            }
            case POOL_VERSIONS -> {
                versions.onRecord(record, now);
                yield true;
            }
        };
    }

    private void onStoreRestored(FeedName name, Instant now) {
        switch (name) {
            case MEMBERSHIP -> membership.onStoreRestored(now);
            case CONFIGURATION -> rollouts.onStoreRestored(now);
            case STREAMS -> streams.onStoreRestored();
            case QUARANTINE -> quarantine.onStoreRestored();
            case DIRECTORY, ROLLOUTS, POOL_VERSIONS -> {
                // Upstreams write their entries again, statuses are written with those of the configuration, and
                // versions
                // when the earlier record has been read.
            }
        }
    }

    private void onConfigurationRecord(FeedRecord record, boolean storeUnstable, Instant now) {
        switch (setup.decoder().configuration(record)) {
            case ConfigurationItem.Published published -> publish(published.configuration(), record);
            case ConfigurationItem.DomainService service -> {
                directory.onDomain(service.domain(), service.out());
                log(Decision.builder("domain_service")
                        .field("domain", service.domain())
                        .field("out", service.out())
                        .field("offset", FeedPosition.text(record.offset())));
            }
            case ConfigurationItem.RolloutOrdered ordered -> rollouts.onOrder(ordered.order(), storeUnstable, now);
            case ConfigurationItem.RolloutWithdrawn withdrawn -> rollouts.onWithdrawn(withdrawn.pool(), record);
            case ConfigurationItem.Ignored ignored ->
                log(Decision.builder("record_ignored")
                        .field("key", record.key())
                        .field("offset", FeedPosition.text(record.offset()))
                        .field("reason", ignored.reason()));
        }
    }

    private void publish(ServingConfiguration latest, FeedRecord record) {
        if (configuration.isPresent() && configuration.get().version() > latest.version()) {
            log(Decision.builder("configuration_older")
                    .field("version", latest.version())
                    .field("offset", FeedPosition.text(record.offset())));
            return;
        }
        configuration = Optional.of(latest);
        membership.configure(latest);
        flows.configure(latest);
        assignments.configure(latest);
        effects.add(new ServingEffect.LimitsChanged(latest.limits()));
        log(Decision.builder("configuration")
                .field("version", latest.version())
                .field("offset", FeedPosition.text(record.offset()))
                .field("routes", latest.routes().size())
                .field("keys", latest.customers().size()));
    }

    /** Applies a record of the directory feed. Returns false if it only renews a known entry. */
    private boolean onDirectoryRecord(FeedRecord record, boolean storeUnstable, Instant now) {
        switch (setup.decoder().directory(record)) {
            case DirectoryItem.Listed listed -> {
                Listing listing = listed.listing();
                if (directory.obsolete(listing, storeUnstable, now)) {
                    log(Decision.builder("upstream_older")
                            .field("upstream", listing.id())
                            .field("offset", FeedPosition.text(record.offset())));
                    return false;
                }
                if (directory.unconfirmed(listing, now)) {
                    log(Decision.builder("upstream_unconfirmed")
                            .field("upstream", listing.id())
                            .field("offset", FeedPosition.text(record.offset())));
                    return true;
                }
                boolean known = directory
                        .find(listing.id())
                        .map(entry -> listing.renews(entry.listing()))
                        .orElse(false);
                UpstreamDirectory.Change change = directory.onListing(listing, now);
                if (change == UpstreamDirectory.Change.RESTARTED) {
                    health.onRestarted(listing.id());
                    flows.onRestarted(listing.id());
                    notices.onRestarted(listing, now);
                    assignments.onEngineRestarted(listing.id());
                }
                logUpstream(listing.id(), change, record);
                return !known || !listing.remainingColdTime().isZero();
            }
            case DirectoryItem.Removed removed -> remove(removed.upstream(), record, storeUnstable, now);
            case DirectoryItem.Unreadable unreadable -> {
                log(Decision.builder("record_unreadable")
                        .field("key", record.key())
                        .field("offset", FeedPosition.text(record.offset()))
                        .field("reason", unreadable.reason()));
                unreadable.upstream().ifPresent(upstream -> remove(upstream, record, storeUnstable, now));
            }
        }
        return true;
    }

    private void remove(VmId upstream, FeedRecord record, boolean storeUnstable, Instant now) {
        Instant heldUntil = storeUnstable ? feeds.recoveryEnd(FeedName.DIRECTORY, now) : now;
        if (heldUntil.isAfter(now)) {
            log(Decision.builder("upstream_held")
                    .field("upstream", upstream)
                    .field("for_ms", Duration.between(now, heldUntil).toMillis())
                    .field("offset", FeedPosition.text(record.offset())));
        }
        logUpstream(upstream, directory.onRemoved(upstream, heldUntil, now), record);
    }

    private void logUpstream(VmId upstream, UpstreamDirectory.Change change, FeedRecord record) {
        if (change != UpstreamDirectory.Change.NONE) {
            log(Decision.builder("upstream")
                    .field("upstream", upstream)
                    .field("change", change)
                    .field("offset", FeedPosition.text(record.offset())));
        }
    }

    private void log(Decision.Builder decision) {
        effects.add(new ServingEffect.LogDecision(decision.build()));
    }

    private void reportReadiness() {
        boolean known = configuration.isPresent()
                && feeds.complete(FeedName.DIRECTORY)
                && feeds.complete(FeedName.MEMBERSHIP)
                && peers.allHoldersFound()
                && (reportedReady.orElse(false) || !rollouts.inProgress() || feeds.complete(FeedName.ROLLOUTS));
        boolean ready = known && !shutdown.started();
        if (reportedReady.isPresent() && reportedReady.get() == ready) {
            return;
        }
        reportedReady = Optional.of(ready);
        String reason = shutdown.started() ? "shutting down" : known ? "serving" : "reading the feeds";
        effects.add(new ServingEffect.ReadinessChanged(ready, reason));
    }

    /** Returns the time until the next tick is due, in the current state of the node. */
    public Duration tickInterval() {
        boolean awaitsReplies = assignments.busy() || reservations.awaited();
        if (shutdown.started() || !orders.scheduler().idle() || awaitsReplies) {
            return SCHEDULING_TICK;
        }
        boolean starting = !reportedReady.orElse(false);
        return starting || flows.awaitingAnswer() || !orders.idle() ? REQUEST_TICK : IDLE_TICK;
    }

    /** Returns the number of requests in progress. */
    public int requests() {
        return flows.size();
    }

    /** The assignment of engines, for tests. */
    AssignmentExchange assignments() {
        return assignments;
    }
}
