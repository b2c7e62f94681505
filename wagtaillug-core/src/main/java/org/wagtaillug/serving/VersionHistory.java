package org.wagtaillug.serving;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.node.Decision;
import org.wagtaillug.stream.PoolVersions;
import org.wagtaillug.stream.PoolVersionsRecord;

/**
 * Knows at which versions pools have served recently, including those that no upstream runs any more.
 *
 * <p>A node that has started, or that was cut off, has not seen which versions have left. One node therefore records the
 * recent versions in the store whenever they change, and the others read the record when they need it.
 */
final class VersionHistory {
    /** A read of the record that takes longer than this counts as failed. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1500);

    /** A directory that was unknown for longer than this may have changed and changed back. */
    private static final Duration MAX_DIRECTORY_GAP = Duration.ofSeconds(3);

    private static final Duration WRITE_INTERVAL = Duration.ofMillis(500);
    private static final String KEY = "pools";

    private final UpstreamDirectory directory;
    private final Predicate<Instant> readSince;
    private final BooleanSupplier storeLost;
    private final Consumer<ServingEffect> effects;
    private final PoolVersions versions = new PoolVersions();
    private Optional<Map<PoolId, Set<VersionKey>>> recorded = Optional.empty();
    private Optional<Instant> directoryKnownSince = Optional.empty();
    private Instant directoryKnownLast = Instant.EPOCH;
    private Instant readFrom = Instant.EPOCH;
    private Instant readUntil = Instant.EPOCH;
    private Instant writeDue = Instant.EPOCH;
    private boolean writer;
    private boolean writing;

    /** What is known of the versions of a pool. */
    sealed interface Finding {
        /**
         * The versions are known.
         *
         * @param versions those at which the pool has served for the last minute
         */
        record Known(Set<VersionKey> versions) implements Finding {}

        /** The record is being read. */
        record Reading() implements Finding {}

        /** The record cannot be read, and this node has not seen all changes itself. */
        record Unknown() implements Finding {}
    }

    /**
     * Creates a history.
     *
     * @param readSince whether a read of the record that began at a time or later has been answered
     * @param storeLost whether the latest read of this node has failed
     */
    VersionHistory(
            UpstreamDirectory directory,
            Predicate<Instant> readSince,
            BooleanSupplier storeLost,
            Consumer<ServingEffect> effects) {
        this.directory = directory;
        this.readSince = readSince;
        this.storeLost = storeLost;
        this.effects = effects;
    }

    /** Finds the versions at which a pool served before a time; reads the record if necessary. */
    Finding find(PoolId pool, Instant time, Instant now) {
        Set<VersionKey> found = new HashSet<>(directory.recentVersions(pool));
        if (found.size() > 1) {
            return new Finding.Known(found);
        }
        if (readSince.test(time) && recorded.isPresent()) {
            found.addAll(recorded.get().getOrDefault(pool, Set.of()));
            return new Finding.Known(found);
        }
        if (storeLost.getAsBoolean() && hasSeenAll(now)) {
            return new Finding.Known(found);
        }
        if (!readSince.test(time) && now.isBefore(time.plus(READ_TIMEOUT))) {
            requestRead(time, now);
            return new Finding.Reading();
        }
        return hasSeenAll(now) ? new Finding.Known(found) : new Finding.Unknown();
    }

    private void requestRead(Instant from, Instant now) {
        readFrom = from.isAfter(readFrom) ? from : readFrom;
        readUntil = now.plus(READ_TIMEOUT);
    }

    private boolean hasSeenAll(Instant now) {
        return directoryKnownSince
                .filter(since -> !now.isBefore(since.plus(PoolVersions.MEMORY)))
                .isPresent();
    }

    /** Whether the record must be read now. */
    boolean readDue(Instant now) {
        return now.isBefore(readUntil) && !readSince.test(readFrom);
    }

    /** Whether this node reads the record now and then. */
    boolean active(Instant now) {
        return writer || readDue(now);
    }

    /** Processes the record. */
    void onRecord(FeedRecord feedRecord, Instant now) {
        if (!feedRecord.key().equals(KEY) || feedRecord.value().isEmpty()) {
            return;
        }
        Either<String, Map<PoolId, Set<VersionKey>>> decoded =
                PoolVersionsRecord.decode(feedRecord.value().get());
        if (decoded.isLeft()) {
            log(Decision.builder("record_unreadable").field("key", KEY).field("reason", decoded.getLeft()));
            return;
        }
        recorded = Optional.of(decoded.get());
        versions.merge(decoded.get(), now);
    }

    /** This node may have missed changes of the directory while it was suspended. */
    void onSuspended() {
        directoryKnownSince = Optional.empty();
    }

    /**
     * Records the versions if they have changed.
     *
     * @param writes whether this node has the duty to record them
     * @param directoryKnown whether this node knows the latest directory
     * @param position the end of the record's feed; empty if it is not known
     */
    void onTick(boolean writes, boolean directoryKnown, OptionalLong position, Instant now) {
        writer = writes;
        followDirectory(directoryKnown, now);
        if (!writer || !directoryKnown || position.isEmpty()) {
            return;
        }
        for (PoolId pool : directory.pools()) {
            versions.observe(pool, directory.listedVersions(pool), now);
        }
        write(position, now);
    }

    private void followDirectory(boolean known, Instant now) {
        if (now.isAfter(directoryKnownLast.plus(MAX_DIRECTORY_GAP))) {
            directoryKnownSince = Optional.empty();
        }
        if (known) {
            directoryKnownLast = now;
            directoryKnownSince = directoryKnownSince.or(() -> Optional.of(now));
        }
    }

    private void write(OptionalLong position, Instant now) {
        if (writing || now.isBefore(writeDue)) {
            return;
        }
        Map<PoolId, Set<VersionKey>> recent = versions.recent(now);
        if (recorded.filter(recent::equals).isPresent()) {
            return;
        }
        writing = true;
        writeDue = now.plus(WRITE_INTERVAL);
        log(Decision.builder("pool_versions").field("versions", recent));
        // Fails if another node has written in the meantime, whose versions must not be lost.
        effects.accept(new ServingEffect.WriteRecord(
                FeedName.POOL_VERSIONS, KEY, Optional.of(PoolVersionsRecord.encode(recent)), position));
    }

    /** Processes the end of a write. The record is read again in any case; a write that failed is repeated then. */
    void onWritten(Instant now) {
        writing = false;
        requestRead(now, now);
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }
}
