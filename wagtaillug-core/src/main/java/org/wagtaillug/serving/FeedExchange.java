package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.wagtaillug.feed.Feed;
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedPosition;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.peer.Peers;

/**
 * Reads the feeds and relays them to other nodes.
 *
 * <p>Two nodes of a failure domain read the store and relay what they read; the others follow both. A follower that
 * receives nothing for some time reads the store itself, so that no node depends on another one to learn of a change.
 */
final class FeedExchange {
    /** A node whose own reads have not been answered for this long, and that is behind a peer, asks the peer. */
    private static final Duration STORE_READ_TIMEOUT = Duration.ofMillis(2500);

    /** Minimum interval between two requests to peers for the same feed. */
    private static final Duration CATCH_UP_INTERVAL = Duration.ofMillis(300);

    /** Nodes that cannot read the store receive what others read within this time. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(1);

    /** An upstream that restarts is down for longer than this. */
    private static final Duration CONFIRMATION_VALIDITY = Duration.ofMillis(100);

    /** For this long after an outage of the store, expired entries do not mean that their writers are gone. */
    private static final Duration OUTAGE_HOLD = Duration.ofSeconds(3);

    /**
     * Entries expire while their upstreams cannot reach the store, and reappear within this time of its return. Removing them
     * immediately would leave pools without a server although all servers work.
     */
    private static final Duration OUTAGE_RECOVERY = Duration.ofSeconds(2);

    private final Peers peers;
    private final Consumer<ServingEffect> effects;
    private final RecordHandler handler;
    private final Map<FeedName, Feed> feeds = new EnumMap<>(FeedName.class);
    private final Map<FeedName, FeedReader> readers = new EnumMap<>(FeedName.class);
    private final Map<FeedName, Instant> catchUpDue = new EnumMap<>(FeedName.class);
    private final Map<FeedName, Boolean> reachable = new EnumMap<>(FeedName.class);
    private final Map<FeedName, Instant> restoredAt = new EnumMap<>(FeedName.class);
    private final Map<FeedName, Instant> returnedAt = new EnumMap<>(FeedName.class);
    private final Map<FeedName, Instant> relayedUnstableAt = new EnumMap<>(FeedName.class);
    private BiConsumer<FeedName, Instant> restored = (name, at) -> {};
    private final Set<FeedName> active = EnumSet.complementOf(
            EnumSet.of(FeedName.ROLLOUTS, FeedName.STREAMS, FeedName.QUARANTINE, FeedName.POOL_VERSIONS));
    private boolean reader = true;

    /** Applies feed records. */
    interface RecordHandler {
        /**
         * Applies a newer record of a key.
         *
         * @param storeUnstable whether the store was unreachable shortly before
         * @return whether the record contains new information
         */
        boolean onRecord(FeedName feed, FeedRecord record, boolean storeUnstable, Instant now);
    }

    FeedExchange(Peers peers, Consumer<ServingEffect> effects, RecordHandler handler) {
        this.peers = peers;
        this.effects = effects;
        this.handler = handler;
        for (FeedName name : FeedName.values()) {
            Feed feed = new Feed(name);
            feeds.put(name, feed);
            readers.put(name, new FeedReader(name, feed));
            catchUpDue.put(name, Instant.EPOCH);
        }
    }

    /** Sets the receiver of returns of the store from an earlier copy, by feed and time. */
    void onRestored(BiConsumer<FeedName, Instant> receiver) {
        restored = receiver;
    }

    /** This node may have been suspended while its time stood still, so it no longer knows how old its last reads are. */
    void onSuspended() {
        readers.values().forEach(FeedReader::onSuspended);
    }

    /** Sets whether this node reads the store on behalf of others. */
    void setReader(boolean reads) {
        reader = reads;
    }

    /** Sets whether an optional feed is read. */
    void setActive(FeedName name, boolean wanted) {
        if (wanted) {
            active.add(name);
        } else {
            active.remove(name);
        }
    }

    /** Requests a read of a feed that does not wait for the pause between two reads. */
    void request(FeedName name, Instant now) {
        readers.get(name).request(now);
    }

    /** Whether this node receives new records of a feed, from the store or from peers. */
    boolean fresh(FeedName name, Instant now) {
        return feeds.get(name).complete() && !readers.get(name).cutOff(now, name.relayTimeout());
    }

    /** Whether all records of a feed from before a time are known. */
    enum Confirmation {
        /** They are, or the store is away for all nodes. */
        CONFIRMED,
        /** A read has been started, or other nodes may relay theirs. */
        PENDING,
        /** This node is cut off from the store and from the nodes that read it. */
        IMPOSSIBLE
    }

    /**
     * Tells whether all records of a feed from before a time are known, and all but the very latest from after it; starts a
     * read if necessary.
     */
    Confirmation confirm(FeedName name, Instant time, Instant now) {
        FeedReader feedReader = readers.get(name);
        Instant recent = now.minus(CONFIRMATION_VALIDITY);
        if (feedReader.confirmedSince(time.isAfter(recent) ? time : recent)) {
            return Confirmation.CONFIRMED;
        }
        if (now.isBefore(time.plus(CONFIRMATION_TIMEOUT))) {
            feedReader.request(now);
            return Confirmation.PENDING;
        }
        return peers.noneReadsStore(now) ? Confirmation.CONFIRMED : Confirmation.IMPOSSIBLE;
    }

    /** Whether a read of a feed that began at a time or later has been answered. */
    boolean readSince(FeedName name, Instant time) {
        return readers.get(name).confirmedSince(time);
    }

    /** Returns the position after the last known record. */
    long position(FeedName name) {
        return position(feeds.get(name));
    }

    /** Whether all records up to the position of a feed are known. */
    boolean complete(FeedName name) {
        return feeds.get(name).complete();
    }

    /** The position of each feed; 0 for a feed with unknown earlier records. */
    Map<FeedName, Long> positions() {
        Map<FeedName, Long> positions = new EnumMap<>(FeedName.class);
        feeds.forEach((name, feed) -> {
            if (name.relayed()) {
                positions.put(name, position(feed));
            }
        });
        return positions;
    }

    private static long position(Feed feed) {
        return feed.complete() ? feed.next() : 0;
    }

    /** Whether this node needs the feed updates of its peers. */
    boolean follows(Instant now) {
        for (FeedName name : active) {
            if (name.relayed() && (!reader || readers.get(name).cutOff(now, STORE_READ_TIMEOUT))) {
                return true;
            }
        }
        return false;
    }

    /** Whether this node's latest read of any active feed has failed. */
    boolean storeLost() {
        for (FeedName name : active) {
            if (readers.get(name).failing()) {
                return true;
            }
        }
        return false;
    }

    void onListed(ServingEvent.FeedListed listed, Instant now) {
        FeedName name = listed.feed();
        onReadSucceeded(name, now);
        boolean restoredNow = feeds.get(name).restoredBy(listed.end());
        long from = feeds.get(name).next();
        List<FeedRecord> listedRecords = readers.get(name).onListed(listed.records(), listed.more(), listed.end(), now);
        if (restoredNow && feeds.get(name).next() != from) {
            noteRestored(name, now);
        }
        apply(name, listedRecords, unstable(name, now), now);
    }

    private void noteRestored(FeedName name, Instant now) {
        restoredAt.put(name, now);
        returnedAt.put(name, now);
        log(Decision.builder("store_restored")
                .field("feed", name)
                .field("era", FeedPosition.era(feeds.get(name).next()))
                .field("offset", FeedPosition.offset(feeds.get(name).next())));
        restored.accept(name, now);
    }

    void onRead(ServingEvent.FeedRead read, Instant now) {
        FeedName name = read.feed();
        onReadSucceeded(name, now);
        long from = feeds.get(name).next();
        boolean recentlyFailing = unstable(name, now);
        List<FeedRecord> changes = apply(name, readers.get(name).onRecords(read.batch(), now), recentlyFailing, now);
        if (reader && name.relayed() && feeds.get(name).complete()) {
            relay(
                    new ServingMessage.FeedUpdate(
                            name, from, new FeedBatch(feeds.get(name).next(), false, changes), recentlyFailing),
                    now);
        }
    }

    private void relay(ServingMessage.FeedUpdate update, Instant now) {
        for (VmId follower : peers.followers(now)) {
            effects.accept(new ServingEffect.SendToPeer(follower, update));
        }
    }

    void onTruncated(FeedName name, Instant now) {
        readers.get(name).onTruncated(now);
    }

    /**
     * Records a read that was not answered or was refused.
     *
     * @return whether it is the first one after successful reads
     */
    boolean onFailed(ServingEvent.FeedFailed failed, Instant now) {
        boolean first = !storeLost();
        readers.get(failed.feed()).onFailed(now);
        if (!Boolean.FALSE.equals(reachable.put(failed.feed(), false))) {
            log(Decision.builder("store_lost").field("feed", failed.feed()).field("reason", failed.reason()));
        }
        return first;
    }

    private void onReadSucceeded(FeedName name, Instant now) {
        if (readers.get(name).failing()) {
            returnedAt.put(name, now);
        }
        if (!Boolean.TRUE.equals(reachable.put(name, true))) {
            log(Decision.builder("store_regained").field("feed", name));
        }
    }

    /** Applies records that a peer has read and relayed. */
    void onUpdate(VmId sender, ServingMessage.FeedUpdate update, Instant now) {
        Feed feed = feeds.get(update.feed());
        if (!feed.complete()) {
            return;
        }
        if (update.from() > feed.next()) {
            effects.accept(
                    new ServingEffect.SendToPeer(sender, new ServingMessage.FeedRequest(update.feed(), feed.next())));
            return;
        }
        onRelayed(update, now);
        boolean storeUnstable = update.storeUnstable() || unstable(update.feed(), now);
        apply(update.feed(), applyRelayed(update.feed(), update.batch(), now), storeUnstable, now);
    }

    private void onRelayed(ServingMessage.FeedUpdate update, Instant now) {
        FeedName name = update.feed();
        boolean wasFailing = readers.get(name).failing();
        readers.get(name).onRelayed(now);
        Instant lastUnstable = relayedUnstableAt.getOrDefault(name, Instant.EPOCH);
        boolean firstUnstable = update.storeUnstable() && !now.isBefore(lastUnstable.plus(OUTAGE_HOLD));
        if (update.storeUnstable()) {
            relayedUnstableAt.put(name, now);
        }
        if (firstUnstable || (wasFailing && !readers.get(name).failing())) {
            returnedAt.put(name, now);
        }
    }

    void onFeedCatchUp(ServingMessage.FeedCatchUp catchUp, Instant now) {
        List<FeedRecord> changed = applyRelayed(catchUp.feed(), catchUp.batch(), now);
        apply(catchUp.feed(), changed, unstable(catchUp.feed(), now), now);
    }

    private List<FeedRecord> applyRelayed(FeedName name, FeedBatch batch, Instant now) {
        boolean restoredNow = feeds.get(name).restoredBy(batch.next());
        List<FeedRecord> changed = feeds.get(name).apply(batch);
        if (restoredNow) {
            noteRestored(name, now);
        }
        return changed;
    }

    void onFeedRequest(VmId sender, ServingMessage.FeedRequest request) {
        Feed feed = feeds.get(request.feed());
        if (feed.complete() && feed.next() > request.from()) {
            effects.accept(new ServingEffect.SendToPeer(
                    sender, new ServingMessage.FeedCatchUp(request.feed(), feed.after(request.from()))));
        }
    }

    /**
     * When the entries that expired in the latest outage of the store have reappeared, if their upstreams live; in the future
     * while this node cannot read the store.
     */
    Instant recoveryEnd(FeedName name, Instant now) {
        Instant returned = readers.get(name).failing() ? now : returnedAt.getOrDefault(name, Instant.EPOCH);
        return returned.plus(OUTAGE_RECOVERY);
    }

    /** Whether the store was unreachable, or came back from an earlier copy, shortly before. */
    private boolean unstable(FeedName name, Instant now) {
        Instant restoredLast = restoredAt.getOrDefault(name, Instant.EPOCH);
        return readers.get(name).failedWithin(now, OUTAGE_HOLD) || now.isBefore(restoredLast.plus(OUTAGE_HOLD));
    }

    private List<FeedRecord> apply(FeedName name, List<FeedRecord> changed, boolean recentlyFailing, Instant now) {
        List<FeedRecord> changes = new ArrayList<>();
        for (FeedRecord record : changed) {
            if (handle(name, record, recentlyFailing, now)) {
                changes.add(record);
            }
        }
        return changes;
    }

    /**
     * Passes a record to the handler. The position of the feed has moved past the whole batch already, so a record that the
     * handler fails on must not end the batch: those behind it would never be applied.
     */
    private boolean handle(FeedName name, FeedRecord record, boolean recentlyFailing, Instant now) {
        try {
            return handler.onRecord(name, record, recentlyFailing, now);
        } catch (RuntimeException exception) {
            log(Decision.builder("record_failed")
                    .field("feed", name)
                    .field("key", record.key())
                    .field("offset", FeedPosition.text(record.offset()))
                    .field("reason", exception));
            return true;
        }
    }

    /** Requests records from peers while this node cannot read the store. */
    void catchUp(Instant now) {
        for (FeedName name : active) {
            long position = position(feeds.get(name));
            boolean cutOff = readers.get(name).cutOff(now, STORE_READ_TIMEOUT);
            if (!cutOff || now.isBefore(catchUpDue.get(name))) {
                continue;
            }
            Optional<VmId> peer = peers.ahead(name, position, now);
            if (peer.isPresent()) {
                catchUpDue.put(name, now.plus(CATCH_UP_INTERVAL));
                effects.accept(
                        new ServingEffect.SendToPeer(peer.get(), new ServingMessage.FeedRequest(name, position)));
            }
        }
    }

    /** Starts the reads that are due. */
    void read(Instant now) {
        for (FeedName name : active) {
            Optional<FeedReader.Read> read = readers.get(name).next(!reader && name.relayed(), now);
            read.ifPresent(wanted -> effects.accept(new ServingEffect.ReadFeed(name, wanted)));
        }
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }
}
