package org.wagtaillug.serving;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedPosition;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.peer.Peers;
import org.wagtaillug.stream.StreamLookups;
import org.wagtaillug.stream.StreamOrigin;
import org.wagtaillug.stream.StreamOriginRecord;
import org.wagtaillug.stream.StreamOrigins;

/**
 * Makes the origins of streams known to all nodes.
 *
 * <p>A few nodes, the replicas, store the origin of each stream from its beginning and answer the queries of the others, so
 * that the messages for a stream do not grow with the fleet. One of them writes the origins to the store, from which they are
 * read after many nodes have failed together.
 */
final class StreamExchange {
    /** The number of replicas. */
    static final int REPLICAS = 3;

    /** How long after its caller's deadline a stream may still be taken up. */
    private static final Duration TAKE_UP_MARGIN = Duration.ofSeconds(5);

    private static final Duration WRITE_INTERVAL = Duration.ofMillis(500);

    /** Maximum number of origins in one message or record. */
    private static final int MAX_ORIGINS = 100;

    /** The keys of the store, which are overwritten in turn; at the write interval they hold about a minute. */
    private static final int STORE_KEYS = 128;

    private final VmId self;
    private final Peers peers;
    private final VersionHistory history;
    private final BooleanSupplier acceptsWork;
    private final Consumer<ServingEffect> effects;
    private final StreamOrigins origins = new StreamOrigins();
    private final StreamLookups lookups = new StreamLookups();
    private final Set<RequestId> begun = new HashSet<>();
    private final Map<String, List<RequestId>> writes = new HashMap<>();
    private List<VmId> replicas = List.of();
    private Set<VmId> synchronizedReplicas = Set.of();
    private boolean storeRead;
    private long lastOffset = -1;
    private int lastKey = -1;
    private Instant writeDue = Instant.EPOCH;

    /** What this node knows of a stream. */
    sealed interface Finding {
        /**
         * The stream can go on at upstreams of one pool and version.
         *
         * @param origin where it began
         */
        record Found(StreamOrigin origin) implements Finding {}

        /** Other nodes have been asked. */
        record Searching() implements Finding {}

        /**
         * It cannot be known where the stream may go on.
         *
         * @param reason the cause
         */
        record Unknown(String reason) implements Finding {}
    }

    StreamExchange(
            ServingSetup setup,
            Peers peers,
            VersionHistory history,
            BooleanSupplier acceptsWork,
            Consumer<ServingEffect> effects) {
        this.self = setup.self().vm();
        this.peers = peers;
        this.history = history;
        this.acceptsWork = acceptsWork;
        this.effects = effects;
    }

    /** Records that the first event of a stream was passed to a caller of this node. */
    void onBegan(Flow flow, Upstream upstream, Instant now) {
        if (!flow.route().resumable()) {
            return;
        }
        RequestId stream = flow.request().id();
        Duration lifetime = Duration.between(now, flow.deadline()).plus(TAKE_UP_MARGIN);
        Listing listing = upstream.listing();
        StreamOrigin origin = new StreamOrigin(
                stream,
                listing.pool(),
                VersionKey.of(listing.version()),
                Optional.of(new StreamOrigin.Sender(listing.id(), listing.incarnation(), Duration.ZERO)),
                lifetime);
        begun.add(stream);
        origins.put(origin, now);
        announce(List.of(origin));
    }

    private void announce(List<StreamOrigin> announced) {
        for (VmId replica : replicas) {
            announce(replica, announced);
        }
    }

    private void announce(VmId replica, List<StreamOrigin> announced) {
        if (!replica.equals(self)) {
            send(replica, new ServingMessage.StreamsBegan(announced));
        }
    }

    private void send(VmId receiver, ServingMessage message) {
        effects.accept(new ServingEffect.SendToPeer(receiver, message));
    }

    /** Finds where a stream may go on; asks other nodes if necessary. */
    Finding find(RequestId stream, Instant now) {
        Optional<StreamOrigin> known = origins.find(stream, now);
        if (known.isPresent()) {
            lookups.remove(stream);
            return new Finding.Found(known.get());
        }
        if (storeRead && replicas.contains(self)) {
            lookups.onUnknown(self, List.of(stream), now);
        }
        return switch (lookups.lookUp(stream, replicas, now)) {
            case SEARCHING -> {
                query(now);
                yield new Finding.Searching();
            }
            case UNKNOWN -> new Finding.Unknown("no node knows it");
            case UNANSWERED -> new Finding.Unknown("the nodes that may know it did not answer");
        };
    }

    /** Where a stream may go on whose caller does not name it: where its pool has served at one version only. */
    Finding onlyOrigin(Flow flow, Instant now) {
        return switch (history.find(flow.pool(), flow.arrivedAt(), now)) {
            case VersionHistory.Finding.Reading ignored -> new Finding.Searching();
            case VersionHistory.Finding.Unknown ignored ->
                new Finding.Unknown("its caller names no earlier request, and it is not known at which versions pool \""
                        + flow.pool() + "\" has served");
            case VersionHistory.Finding.Known known
            when known.versions().size() != 1 ->
                new Finding.Unknown("its caller names no earlier request, and pool \"" + flow.pool()
                        + "\" has served at versions " + known.versions());
            case VersionHistory.Finding.Known known ->
                new Finding.Found(originAt(known.versions().iterator().next(), flow, now));
        };
    }

    private StreamOrigin originAt(VersionKey version, Flow flow, Instant now) {
        RequestId stream = flow.request().id();
        Duration lifetime = Duration.between(now, flow.deadline()).plus(TAKE_UP_MARGIN);
        StreamOrigin origin = new StreamOrigin(stream, flow.pool(), version, Optional.empty(), lifetime);
        origins.put(origin, now);
        return origin;
    }

    private void query(Instant now) {
        for (VmId replica : replicas) {
            List<RequestId> queries = lookups.queries(replica, now);
            if (!queries.isEmpty() && !replica.equals(self)) {
                send(replica, new ServingMessage.StreamQuery(queries));
            }
        }
        lookups.onQueriesSent(now);
    }

    /** Processes the origins of streams that began at another node. */
    void onStreamsBegan(ServingMessage.StreamsBegan began, Instant now) {
        began.origins().forEach(origin -> origins.put(origin, now));
    }

    /** Answers the query of another node. */
    void onQuery(VmId sender, ServingMessage.StreamQuery query, Instant now) {
        List<StreamOrigin> known = new ArrayList<>();
        List<RequestId> unknown = new ArrayList<>();
        for (RequestId stream : query.streams()) {
            Optional<StreamOrigin> origin = origins.find(stream, now);
            origin.ifPresent(known::add);
            if (origin.isEmpty() && storeRead) {
                unknown.add(stream);
            }
        }
        if (!known.isEmpty() || !unknown.isEmpty()) {
            send(sender, new ServingMessage.StreamReply(known, unknown));
        }
    }

    /** Processes the answer to a query. */
    void onReply(VmId sender, ServingMessage.StreamReply reply, Instant now) {
        reply.known().forEach(origin -> origins.put(origin, now));
        lookups.onUnknown(sender, reply.unknown(), now);
    }

    /** Processes a record of the streams feed. */
    void onRecord(FeedRecord record, Instant now) {
        if (record.offset() > lastOffset) {
            lastOffset = record.offset();
            lastKey = keyNumber(record.key());
        }
        if (record.value().isEmpty()) {
            return;
        }
        Either<String, List<StreamOrigin>> decoded =
                StreamOriginRecord.decode(record.value().get());
        if (decoded.isLeft()) {
            log(Decision.builder("record_unreadable")
                    .field("key", record.key())
                    .field("offset", FeedPosition.text(record.offset()))
                    .field("reason", decoded.getLeft()));
            return;
        }
        origins.putSaved(decoded.get(), now);
    }

    private static int keyNumber(String key) {
        try {
            return Integer.parseInt(key);
        } catch (NumberFormatException notANumber) {
            return -1;
        }
    }

    /** Processes the return of the store from an earlier copy, which may lack the latest origins. */
    void onStoreRestored() {
        origins.setAllUnsaved();
    }

    /** Processes the restart of a peer, which has lost the origins that it stored. */
    void onPeerRestarted(VmId peer) {
        Set<VmId> others = new HashSet<>(synchronizedReplicas);
        others.remove(peer);
        synchronizedReplicas = others;
    }

    /** Whether this node writes to the store for all nodes. */
    boolean isWriter(Instant now) {
        return isReplica()
                && peers.dutyHolder(PeerMembership.STREAM_WRITER_DUTY, acceptsWork.getAsBoolean(), now)
                        .equals(self);
    }

    /** Whether this node stores the origins of the streams of all nodes. */
    boolean isReplica() {
        return replicas.contains(self);
    }

    /**
     * Updates the replicas and sends what is due.
     *
     * @param feedRead whether this node has read the streams feed since it became a replica
     */
    void onTick(boolean feedRead, Instant now) {
        storeRead = feedRead;
        origins.expire(now);
        begun.removeIf(stream -> origins.find(stream, now).isEmpty());
        updateReplicas(now);
        query(now);
        if (feedRead && isWriter(now)) {
            write(now);
        }
    }

    private void updateReplicas(Instant now) {
        List<VmId> current =
                peers.holders(PeerMembership.STREAM_REPLICA_DUTY, REPLICAS, acceptsWork.getAsBoolean(), now);
        if (!current.equals(replicas)) {
            log(Decision.builder("stream_replicas").field("replicas", current).field("streams", origins.size()));
            replicas = current;
        }
        for (VmId replica : current) {
            if (!synchronizedReplicas.contains(replica)) {
                synchronize(replica, now);
            }
        }
        synchronizedReplicas = Set.copyOf(current);
    }

    /** Sends a new replica the origins of the streams that began at this node. */
    private void synchronize(VmId replica, Instant now) {
        List<StreamOrigin> all = new ArrayList<>();
        for (RequestId stream : begun) {
            origins.find(stream, now).ifPresent(all::add);
        }
        for (int from = 0; from < all.size(); from += MAX_ORIGINS) {
            announce(replica, List.copyOf(all.subList(from, Math.min(all.size(), from + MAX_ORIGINS))));
        }
    }

    private void write(Instant now) {
        if (now.isBefore(writeDue) || !writes.isEmpty()) {
            return;
        }
        List<StreamOrigin> unsaved = origins.unsaved(MAX_ORIGINS, now);
        if (unsaved.isEmpty()) {
            return;
        }
        writeDue = now.plus(WRITE_INTERVAL);
        lastKey = (lastKey + 1) % STORE_KEYS;
        String key = Integer.toString(lastKey);
        writes.put(key, streams(unsaved));
        effects.accept(
                new ServingEffect.WriteRecord(FeedName.STREAMS, key, Optional.of(StreamOriginRecord.encode(unsaved))));
    }

    private static List<RequestId> streams(Collection<StreamOrigin> origins) {
        return origins.stream().map(StreamOrigin::stream).toList();
    }

    /** Processes the end of a write; origins that were not written are written again. */
    void onWritten(ServingEvent.RecordWritten written) {
        List<RequestId> streams = writes.remove(written.key());
        if (streams != null && written.done()) {
            origins.setSaved(streams, true);
        }
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }
}
