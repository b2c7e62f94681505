package org.wagtaillug.feed;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Schedules the reads of one feed: first a listing of the latest record of each key, then the records that follow. At
 * most one read is in flight.
 */
public final class FeedReader {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    /**
     * The longer retry interval of followers. In a large fleet most nodes follow a few readers; while the store is down
     * they must not all retry as often as the readers.
     */
    private static final Duration FOLLOWER_RETRY_INTERVAL = Duration.ofSeconds(1);

    /** The longest time from the start of a read by another node to the arrival of the records that it relays. */
    private static final Duration RELAY_DELAY = Duration.ofMillis(100);

    private final FeedName name;
    private final Feed feed;
    private final List<FeedRecord> listed = new ArrayList<>();
    private boolean listing = true;
    private Optional<String> lastListedKey = Optional.empty();
    private long listingPosition = -1;
    private boolean inFlight;
    private boolean follower;
    private boolean failing;
    private Instant due = Instant.EPOCH;
    private boolean requested;
    private Instant startedAt = Instant.EPOCH;
    private Instant confirmedAt = Instant.EPOCH;
    private Optional<Instant> lastAnswer = Optional.empty();
    private Optional<Instant> lastFailure = Optional.empty();

    /** A read to perform. */
    public sealed interface Read {
        /**
         * Reads a page of the listing of the latest record of each key.
         *
         * @param after the last key of the previous page; empty for the first page
         */
        record Newest(Optional<String> after) implements Read {}

        /**
         * Reads the records from an offset.
         *
         * @param from the first offset
         * @param longestWait how long to wait for a record
         */
        record From(long from, Duration longestWait) implements Read {}
    }

    /** Creates a reader that starts with a listing. */
    public FeedReader(FeedName name, Feed feed) {
        this.name = name;
        this.feed = feed;
    }

    /**
     * Returns the read to perform now; empty while one is in flight or none is due.
     *
     * @param follower whether other nodes relay their reads to this node; it then reads only if it has no listing yet
     *     or is no longer relayed to
     */
    public Optional<Read> next(boolean follower, Instant now) {
        this.follower = follower;
        boolean relayed = follower && !listing && !cutOff(now, name.relayTimeout());
        if (inFlight || now.isBefore(due) || (relayed && !requested)) {
            return Optional.empty();
        }
        inFlight = true;
        requested = false;
        startedAt = now;
        if (listing) {
            return Optional.of(new Read.Newest(lastListedKey));
        }
        return Optional.of(new Read.From(feed.next(), name.longestWait()));
    }

    /** Requests a read that does not wait for the pause between two reads, nor for another node to relay one. */
    public void request(Instant now) {
        if (!requested && !failing) {
            requested = true;
            due = inFlight ? due : now;
        }
    }

    /** Whether all records that were written before a time are known, from the store or from other nodes. */
    public boolean confirmedSince(Instant time) {
        return !listing && !confirmedAt.isBefore(time);
    }

    /** A page of the listing was received; returns the records that were applied. */
    public List<FeedRecord> onListed(List<FeedRecord> records, boolean more, long end, Instant now) {
        answered(now);
        if (listingPosition >= 0 && FeedPosition.era(end) != FeedPosition.era(listingPosition)) {
            // The pages are those of two histories.
            resetListing(true);
            due = now;
            return List.of();
        }
        listed.addAll(records);
        // Records written while the pages are read may be in none of them, so reading continues from the position of
        // the first page.
        listingPosition = listingPosition < 0 ? end : listingPosition;
        if (more && !records.isEmpty()) {
            lastListedKey = Optional.of(records.getLast().key());
            due = now;
            return List.of();
        }
        List<FeedRecord> changed = feed.apply(new FeedBatch(listingPosition, true, listed));
        resetListing(false);
        due = now;
        return changed;
    }

    /** Records were received; returns those that were applied. */
    public List<FeedRecord> onRecords(FeedBatch batch, Instant now) {
        answered(now);
        due = requested ? now : now.plus(name.pause());
        return feed.apply(batch);
    }

    /** The records from the current position are no longer retained, so the feed is listed again. */
    public void onTruncated(Instant now) {
        answered(now);
        resetListing(true);
        due = now;
    }

    /** A read was refused or not answered. */
    public void onFailed(Instant now) {
        inFlight = false;
        failing = true;
        due = now.plus(follower ? FOLLOWER_RETRY_INTERVAL : RETRY_INTERVAL);
        lastFailure = Optional.of(now);
        if (listing) {
            resetListing(true);
        }
    }

    /** Another node has relayed the result of a read. */
    public void onRelayed(Instant now) {
        lastAnswer = Optional.of(now);
        failing &= !follower;
        Instant readAt = now.minus(RELAY_DELAY);
        confirmedAt = readAt.isAfter(confirmedAt) ? readAt : confirmedAt;
    }

    /** What was read so far, or is being read, may be older than the time that has passed on this node. */
    public void onSuspended() {
        startedAt = Instant.EPOCH;
        confirmedAt = Instant.EPOCH;
        lastAnswer = Optional.empty();
    }

    private void answered(Instant now) {
        confirmedAt = startedAt;
        inFlight = false;
        failing = false;
        lastAnswer = Optional.of(now);
    }

    private void resetListing(boolean required) {
        listing = required;
        listed.clear();
        lastListedKey = Optional.empty();
        listingPosition = -1;
    }

    /**
     * Whether this node receives nothing from the store: its latest read failed, or none was answered within a timeout.
     * A store that refuses a node does so immediately; waiting for the timeout as well would keep a revoked key valid
     * for seconds.
     */
    public boolean cutOff(Instant now, Duration timeout) {
        return failing || lastAnswer.isEmpty() || now.isAfter(lastAnswer.get().plus(timeout));
    }

    /** Whether this node's latest read failed. */
    public boolean failing() {
        return failing;
    }

    /** Whether a read has failed within the given time before now. */
    public boolean failedWithin(Instant now, Duration time) {
        return lastFailure.isPresent() && now.isBefore(lastFailure.get().plus(time));
    }
}
