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
import java.util.function.Consumer;
import org.wagtaillug.feed.Feed;
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.peer.Peers;

/**
 * How this node learns of the feeds, and passes them on.
 *
 * <p>Two nodes of a failure domain read the store and pass on what they read; the others follow both. A follower that is
 * told nothing for a while reads for itself, so no node depends on another to hear of a change.
 */
final class FeedExchange {
    /** A node whose own reads got no answer for this long, and that is behind a peer, asks the peer. */
    private static final Duration STORE_READ_TIMEOUT = Duration.ofMillis(2500);

    /** How often a peer is asked for the same feed. */
    private static final Duration CATCH_UP_INTERVAL = Duration.ofMillis(300);

    /** Entries may lapse for this long after an outage of the store without meaning that their writers are gone. */
    private static final Duration OUTAGE_HOLD = Duration.ofSeconds(3);

    private final Peers peers;
    private final Consumer<ServingEffect> effects;
    private final Receiver receiver;
    private final Map<FeedName, Feed> feeds = new EnumMap<>(FeedName.class);
    private final Map<FeedName, FeedReader> readers = new EnumMap<>(FeedName.class);
    private final Map<FeedName, Instant> catchUpDue = new EnumMap<>(FeedName.class);
    private final Map<FeedName, Boolean> reachable = new EnumMap<>(FeedName.class);
    private final Set<FeedName> active = EnumSet.complementOf(EnumSet.of(FeedName.ROLLOUTS));
    private boolean reader = true;

    /** Acts on what a record says. */
    interface Receiver {
        /**
         * A newer record of a key.
         *
         * @param storeUnstable whether the store was away shortly before
         * @return whether it says anything that was not known
         */
        boolean take(FeedName feed, FeedRecord record, boolean storeUnstable, Instant now);
    }

    FeedExchange(Peers peers, Consumer<ServingEffect> effects, Receiver receiver) {
        this.peers = peers;
        this.effects = effects;
        this.receiver = receiver;
        for (FeedName name : FeedName.values()) {
            Feed feed = new Feed();
            feeds.put(name, feed);
            readers.put(name, new FeedReader(name, feed));
            catchUpDue.put(name, Instant.EPOCH);
        }
    }

    /** Sets whether this node reads the store for others. */
    void reader(boolean reads) {
        reader = reads;
    }

    /** Sets whether a feed is read that counts only at times. */
    void activate(FeedName name, boolean wanted) {
        if (wanted) {
            active.add(name);
        } else {
            active.remove(name);
        }
    }

    /** Whether this node hears of what is written to a feed, from the store or from others. */
    boolean fresh(FeedName name, Instant now) {
        return feeds.get(name).whole() && !readers.get(name).cutOff(now, name.relayTimeout());
    }

    /** The position after the last record that is known. */
    long position(FeedName name) {
        return position(feeds.get(name));
    }

    /** Whether everything up to the position of a feed is known. */
    boolean whole(FeedName name) {
        return feeds.get(name).whole();
    }

    /** How far each feed is known; 0 for one of which not all before is. */
    Map<FeedName, Long> positions() {
        Map<FeedName, Long> positions = new EnumMap<>(FeedName.class);
        feeds.forEach((name, feed) -> positions.put(name, position(feed)));
        return positions;
    }

    private static long position(Feed feed) {
        return feed.whole() ? feed.next() : 0;
    }

    /** Whether this node wants to be told what others read. */
    boolean follows(Instant now) {
        for (FeedName name : active) {
            if (!reader || readers.get(name).cutOff(now, STORE_READ_TIMEOUT)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the newest own read of a feed failed. */
    boolean storeLost() {
        for (FeedName name : active) {
            if (readers.get(name).failing()) {
                return true;
            }
        }
        return false;
    }

    void onListed(ServingEvent.FeedListed listed, Instant now) {
        answered(listed.feed());
        take(
                listed.feed(),
                readers.get(listed.feed()).onListed(listed.records(), listed.more(), listed.end(), now),
                unstable(listed.feed(), now),
                now);
    }

    void onRead(ServingEvent.FeedRead read, Instant now) {
        FeedName name = read.feed();
        answered(name);
        long from = feeds.get(name).next();
        boolean unstable = unstable(name, now);
        List<FeedRecord> news = take(name, readers.get(name).onRecords(read.batch(), now), unstable, now);
        if (reader && feeds.get(name).whole()) {
            passOn(
                    new ServingMessage.FeedUpdate(
                            name, from, new FeedBatch(feeds.get(name).next(), false, news), unstable),
                    now);
        }
    }

    private void passOn(ServingMessage.FeedUpdate update, Instant now) {
        for (VmId follower : peers.followers(now)) {
            effects.accept(new ServingEffect.SendToPeer(follower, update));
        }
    }

    void onForgotten(FeedName name, Instant now) {
        readers.get(name).onForgotten(now);
    }

    /**
     * A read got no answer, or a refusal.
     *
     * @return whether it is the first one after reads that were answered
     */
    boolean onFailed(ServingEvent.FeedFailed failed, Instant now) {
        boolean first = !storeLost();
        readers.get(failed.feed()).onFailed(now);
        if (!Boolean.FALSE.equals(reachable.put(failed.feed(), false))) {
            log(Decision.builder("store_lost").field("feed", failed.feed()).field("reason", failed.reason()));
        }
        return first;
    }

    private void answered(FeedName name) {
        if (!Boolean.TRUE.equals(reachable.put(name, true))) {
            log(Decision.builder("store_regained").field("feed", name));
        }
    }

    /** Another node passes on what it has read. */
    void onUpdate(VmId sender, ServingMessage.FeedUpdate update, Instant now) {
        Feed feed = feeds.get(update.feed());
        if (!feed.whole()) {
            return;
        }
        if (update.from() > feed.next()) {
            effects.accept(
                    new ServingEffect.SendToPeer(sender, new ServingMessage.FeedAsk(update.feed(), feed.next())));
            return;
        }
        readers.get(update.feed()).onRelayed(now);
        boolean unstable = update.storeUnstable() || unstable(update.feed(), now);
        take(update.feed(), feed.apply(update.batch()), unstable, now);
    }

    void onHelp(ServingMessage.FeedHelp help, Instant now) {
        take(help.feed(), feeds.get(help.feed()).apply(help.batch()), unstable(help.feed(), now), now);
    }

    void onAsk(VmId sender, ServingMessage.FeedAsk ask) {
        Feed feed = feeds.get(ask.feed());
        if (feed.whole() && feed.next() > ask.from()) {
            effects.accept(new ServingEffect.SendToPeer(
                    sender, new ServingMessage.FeedHelp(ask.feed(), feed.after(ask.from()))));
        }
    }

    private boolean unstable(FeedName name, Instant now) {
        return readers.get(name).failedWithin(now, OUTAGE_HOLD);
    }

    private List<FeedRecord> take(FeedName name, List<FeedRecord> changed, boolean unstable, Instant now) {
        List<FeedRecord> news = new ArrayList<>();
        for (FeedRecord record : changed) {
            if (receiver.take(name, record, unstable, now)) {
                news.add(record);
            }
        }
        return news;
    }

    /** Asks peers for what the store does not tell this node. */
    void catchUp(Instant now) {
        for (FeedName name : active) {
            long position = position(feeds.get(name));
            boolean alone = readers.get(name).cutOff(now, STORE_READ_TIMEOUT);
            if (!alone || now.isBefore(catchUpDue.get(name))) {
                continue;
            }
            Optional<VmId> peer = peers.ahead(name, position, now);
            if (peer.isPresent()) {
                catchUpDue.put(name, now.plus(CATCH_UP_INTERVAL));
                effects.accept(new ServingEffect.SendToPeer(peer.get(), new ServingMessage.FeedAsk(name, position)));
            }
        }
    }

    /** Reads what is due. */
    void read(Instant now) {
        for (FeedName name : active) {
            Optional<FeedReader.Read> read = readers.get(name).next(!reader, now);
            read.ifPresent(wanted -> effects.accept(new ServingEffect.ReadFeed(name, wanted)));
        }
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }
}
