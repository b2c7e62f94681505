package org.wagtaillug.assignment;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.route.EngineCapacity;
import org.wagtaillug.routing.PrefixSegment;

/** What the node that assigns engines knows of one engine. */
final class EngineState {
    /** Time in which the weight of a prompt in the reading rate falls to 1/e: about the duration of a long stream. */
    private static final Duration RATE_TIME = Duration.ofSeconds(1);

    /** Assumed size of the cache of an engine whose memory is unknown. */
    private static final long DEFAULT_CACHE_TOKENS = 200_000;

    /** Running requests occupy about half of the memory under load. */
    private static final int CACHE_DIVISOR = 2;

    private final SentPrefixes prefixes;
    private final Map<AttemptKey, Attempt> attempts = new HashMap<>();
    private long unreadTokens;
    private long reservedTokens;
    private int streams;
    private double recentTokens;
    private Instant recentAt = Instant.EPOCH;
    private boolean usualLoad = true;
    private Optional<Instant> reportedAt = Optional.empty();

    /** An attempt that is in flight. */
    private record Attempt(long uncachedTokens, long reservedTokens, boolean answering, Instant deadline) {}

    EngineState(EngineCapacity capacity) {
        prefixes = new SentPrefixes(capacity.tokens() == 0 ? DEFAULT_CACHE_TOKENS : capacity.tokens() / CACHE_DIVISOR);
    }

    /** Adds an attempt that the engine gets; it replaces an earlier attempt of the request. */
    void start(AttemptKey key, EngineDemand demand, Instant now) {
        remove(key);
        long cached = prefixes.cachedTokens(demand.segments());
        long uncached = Math.max(0, demand.promptTokens() - cached);
        long shared = 0;
        for (PrefixSegment segment : demand.segments()) {
            shared += segment.tokens();
        }
        prefixes.onSent(demand.segments(), Math.max(0, demand.promptTokens() - shared));
        long reserved = (long) demand.promptTokens() + demand.outputTokens();
        attempts.put(key, new Attempt(uncached, reserved, false, demand.deadline()));
        unreadTokens += uncached;
        reservedTokens += reserved;
        recentTokens = decayed(now) + uncached;
        recentAt = now;
    }

    /** Records that the prompt of an attempt has been read. */
    void onAnswering(AttemptKey key) {
        Attempt attempt = attempts.get(key);
        if (attempt != null && !attempt.answering()) {
            attempts.put(key, new Attempt(0, attempt.reservedTokens(), true, attempt.deadline()));
            unreadTokens -= attempt.uncachedTokens();
            streams++;
        }
    }

    /** Removes an attempt that has ended; ignored if it is not known. */
    void remove(AttemptKey key) {
        Attempt attempt = attempts.remove(key);
        if (attempt != null) {
            unreadTokens -= attempt.uncachedTokens();
            reservedTokens -= attempt.reservedTokens();
            streams -= attempt.answering() ? 1 : 0;
        }
    }

    /** Removes the attempts whose deadlines have passed, as those of nodes that have failed. */
    void expire(Instant now) {
        attempts.entrySet().stream()
                .filter(entry -> now.isAfter(entry.getValue().deadline()))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
    }

    void onReport(ServerLoad load, Instant at) {
        reportedAt = Optional.of(at);
        usualLoad = load.slowdown() <= 1 && load.waiting() == 0;
    }

    /** Whether the last report says nothing that raises a cost, so that its weight need not be computed. */
    boolean usualLoad() {
        return usualLoad;
    }

    /** The age of the last load report; empty without one. */
    Optional<Duration> reportAge(Instant now) {
        return reportedAt.map(at -> Duration.between(at, now));
    }

    boolean has(AttemptKey key) {
        return attempts.containsKey(key);
    }

    /** The tokens of a prompt that the engine has to read. */
    long uncachedTokens(EngineDemand demand) {
        return Math.max(0, demand.promptTokens() - prefixes.cachedTokens(demand.segments()));
    }

    /** The tokens of prompts that have been sent there and not been read. */
    long unreadTokens() {
        return unreadTokens;
    }

    /** The number of streams that have begun. */
    int streams() {
        return streams;
    }

    int inFlight() {
        return attempts.size();
    }

    /** The tokens that it has recently got to read in a second. */
    double tokensPerSecond(Instant now) {
        return decayed(now) * Duration.ofSeconds(1).toNanos() / RATE_TIME.toNanos();
    }

    private double decayed(Instant now) {
        if (recentTokens == 0) {
            return 0;
        }
        double age = Math.max(0, Duration.between(recentAt, now).toNanos());
        return recentTokens * Math.exp(-age / RATE_TIME.toNanos());
    }

    /** Whether slots and memory allow one more request. */
    boolean fits(EngineDemand demand, EngineCapacity capacity) {
        boolean slotFree = capacity.slots() == 0 || attempts.size() < capacity.slots();
        long needed = reservedTokens + demand.promptTokens() + demand.outputTokens();
        return slotFree && (capacity.tokens() == 0 || needed <= capacity.tokens());
    }
}
