package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.node.Decision;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/**
 * Decides which of the requests with the same idempotency key may run, so that no key runs twice, whichever nodes its
 * caller tries.
 *
 * <pre>{@code
 * Claims claims = Claims.builder(self).retention(Duration.ofHours(1)).build();
 * claims.requestClaim(request, key, bodyDigest, deadline, now, effects);
 * for (ClaimResult verdict : claims.results()) { ... }
 * }</pre>
 *
 * <p>After each call, {@link #results()} returns the results of that call.
 */
public final class Claims {
    /** How long {@link #idle()} stays false for a claim that was given up while its append may still reach the log. */
    private static final Duration LATE_CLAIM_WAIT = Duration.ofSeconds(30);

    private final NodeId self;
    private final LongFunction<String> claimIds;
    private final Predicate<NodeId> members;
    private final KeyAgeLimits keyAge;
    private final ClaimTable claimTable;
    private final ClaimReader reader;
    private final ClaimWriter writer;
    private final Map<RequestId, PendingRequest> pendingRequests = new LinkedHashMap<>();
    private final Map<String, Set<PendingRequest>> pendingByKey = new HashMap<>();
    /**
     * Pending requests by the id of the claim that they wait to read back. A claim without an entry can never win for
     * this node.
     */
    private final Map<String, PendingRequest> pendingByClaim = new HashMap<>();

    private final Map<RequestId, ClaimRecord.Claimed> heldClaims = new HashMap<>();
    /** Claims that were given up while their append was in flight, with the time when they were given up. */
    private final Map<String, Instant> claimsGivenUpInFlight = new LinkedHashMap<>();

    private final List<ClaimResult> results = new ArrayList<>();
    private long lastClaimNumber;

    private Claims(Builder builder) {
        this.self = builder.self;
        this.claimIds = builder.claimIds;
        this.members = builder.members;
        this.keyAge = new KeyAgeLimits(builder.retention);
        this.claimTable = new ClaimTable(builder.retention);
        this.reader = new ClaimReader(builder.retention);
        this.writer = new ClaimWriter(builder.minAppendInterval, builder.appendsPerSecond);
    }

    /** Starts a builder with the defaults that are stated at the builder's methods. */
    public static Builder builder(NodeId self) {
        return new Builder(self);
    }

    /** Refuses expired requests, sends the next read and appends queued records. */
    public void onTick(Instant now, Effects effects) {
        reader.read(now, effects);
        refuseExpired(now);
        claimsGivenUpInFlight.values().removeIf(since -> now.isAfter(since.plus(LATE_CLAIM_WAIT)));
        flush(now, effects);
    }

    /**
     * Handles the response to a read of the claims stream.
     *
     * @param sentAt when the read was sent; not used, because whether a claim won depends only on the order of the
     *     records
     */
    public void onLogRead(Instant sentAt, LogBatch batch, Instant now, Effects effects) {
        ClaimReader.ReadResult result = reader.onBatch(batch, now);
        refuseExpired(now);
        if (result.gap()) {
            resetAfterGap(now);
        }
        Set<String> changedKeys = new LinkedHashSet<>();
        for (LogBatch.Entry entry : result.entries()) {
            if (entry.record() instanceof LogRecord.ClaimBatch claims) {
                apply(claims, entry.time(), now, effects, changedKeys);
            }
            claimTable.evictExpired(entry.time());
        }
        for (String key : changedKeys) {
            resolveAll(key, now);
        }
        if (!result.entries().isEmpty()) {
            reader.read(now, effects);
        }
        flush(now, effects);
    }

    /** Handles a failed read of the claims stream. */
    public void onLogReadFailed(Instant now, Effects effects) {
        reader.onReadFailed(now);
        refuseExpired(now);
        flush(now, effects);
    }

    /**
     * Handles the acknowledgement of an append. Whether a claim won is decided only when it is read back.
     *
     * @return whether the append was sent by this instance
     */
    public boolean onAppended(long append, long offset, Instant now, Effects effects) {
        if (!writer.onAppended(append)) {
            return false;
        }
        flush(now, effects);
        return true;
    }

    /**
     * Handles an append that failed or was not acknowledged.
     *
     * @return whether the append was sent by this instance
     */
    public boolean onAppendFailed(long append, boolean mayTakeEffect, Instant now, Effects effects) {
        if (!writer.onAppendFailed(append, mayTakeEffect, now)) {
            return false;
        }
        refuseExpired(now);
        flush(now, effects);
        return true;
    }

    /**
     * Requests a claim of a key.
     *
     * @param request the request; must not be pending or hold a key already
     * @param key the idempotency key
     * @param bodyDigest digest of template and body; the same key with a different digest is refused
     * @param deadline the latest time at which the request gets its result
     */
    public void requestClaim(
            RequestId request, IdempotencyKey key, String bodyDigest, Instant deadline, Instant now, Effects effects) {
        if (pendingRequests.containsKey(request) || heldClaims.containsKey(request)) {
            throw new IllegalArgumentException(
                    "request " + request + " is already pending or holds a key; expected a new id");
        }
        if (!now.isBefore(deadline)) {
            results.add(new ClaimResult.Refused(request, Refusals.deadlinePassed(key)));
            return;
        }
        if (keyAge.tooNew(key.issuedAt(), now)) {
            results.add(new ClaimResult.Refused(request, Refusals.tooNew(key)));
            return;
        }
        PendingRequest pending = new PendingRequest(request, key, bodyDigest, now, deadline);
        pendingRequests.put(request, pending);
        pendingByKey
                .computeIfAbsent(key.identity(), ignored -> new LinkedHashSet<>())
                .add(pending);
        resolve(pending, now);
        flush(now, effects);
    }

    /**
     * Records the outcome of a request that won its key. It is returned to all later requests with the key.
     *
     * @param run whether the request took effect; {@code UNKNOWN} if a byte may have been sent and no response arrived
     * @param output the response to return; one of more than 190,000 bytes is not recorded, and {@link
     *     ResultCode#TOO_LARGE} is recorded instead
     * @return whether the request held a key
     */
    public boolean recordOutcome(
            RequestId request, ResultCode code, RunState run, Payload output, Instant now, Effects effects) {
        ClaimRecord.Claimed claim = heldClaims.remove(request);
        if (claim == null) {
            return false;
        }
        boolean fits = output.size() <= ClaimWriter.MAX_OUTPUT_BYTES;
        ResultCode recorded = fits ? code : ResultCode.TOO_LARGE;
        writer.add(new ClaimRecord.Settled(claim.key(), claim.claimId(), recorded, run, fits ? output : Payload.EMPTY));
        flush(now, effects);
        return true;
    }

    /**
     * Gives up a request. If it has won its key, the caller guarantees that nothing was sent for it and nothing ever
     * will be; other requests may then run the key. If it is still pending, it gets no result.
     *
     * @return whether the request held a key or was pending
     */
    public boolean abandon(RequestId request, Instant now, Effects effects) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null) {
            remove(pending, now);
            return true;
        }
        ClaimRecord.Claimed claim = heldClaims.remove(request);
        if (claim == null) {
            return false;
        }
        writer.add(new ClaimRecord.Abandoned(claim.key(), claim.claimId()));
        flush(now, effects);
        return true;
    }

    /**
     * Refuses all pending requests because the process ends, each with what is known about its key. No claim wins after
     * this.
     */
    public void shutDown(Instant now) {
        for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
            boolean running = runningHolder(pending).isPresent();
            refuse(
                    pending,
                    running
                            ? Refusals.inProgress(pending.key())
                            : Refusals.shuttingDown(pending.key(), pending.arrivedAt()),
                    now);
        }
    }

    /** Returns and clears the results since the last call, in order. */
    public List<ClaimResult> results() {
        List<ClaimResult> drained = List.copyOf(results);
        results.clear();
        return drained;
    }

    /**
     * Whether nothing is pending, held or still to be written, so that the node can end without leaving the outcome of
     * a key unknown.
     */
    public boolean idle() {
        return pendingRequests.isEmpty() && heldClaims.isEmpty() && claimsGivenUpInFlight.isEmpty() && writer.idle();
    }

    private void apply(
            LogRecord.ClaimBatch batch, Instant time, Instant now, Effects effects, Set<String> changedKeys) {
        for (ClaimRecord record : batch.claims()) {
            boolean changed = claimTable.apply(record, time);
            switch (record) {
                case ClaimRecord.Claimed claimed
                when claimed.claimer().equals(self) -> onOwnClaimRead(claimed, changed, now, effects);
                case ClaimRecord.Claimed ignored -> {}
                case ClaimRecord.Settled settled when changed -> writer.confirm(settled);
                case ClaimRecord.Abandoned abandoned when changed -> writer.confirm(abandoned);
                case ClaimRecord.Settled ignored -> {}
                case ClaimRecord.Abandoned ignored -> {}
            }
            changedKeys.add(record.key());
        }
    }

    /**
     * A request wins only here, when its claim is read back in log order. The acknowledgement of the append is not
     * enough: it may be lost, and it does not tell whether an earlier claim of the key exists.
     */
    private void onOwnClaimRead(ClaimRecord.Claimed claim, boolean won, Instant now, Effects effects) {
        claimsGivenUpInFlight.remove(claim.claimId());
        PendingRequest pending = pendingByClaim.remove(claim.claimId());
        if (pending != null) {
            pending.clearClaim();
        }
        if (!won) {
            return;
        }
        if (pending == null) {
            // The request was told that it did not run before its claim appeared on the log. Without this record the
            // key would stay unknown to every other request.
            abandonLateClaim(claim, effects);
            return;
        }
        if (keyAge.tooOld(claim.issuedAt(), reader.completeFrom(), now)) {
            abandonLateClaim(claim, effects);
            refuse(pending, Refusals.tooOld(pending.key()), now);
            return;
        }
        remove(pending, now);
        heldClaims.put(pending.request(), claim);
        results.add(new ClaimResult.Acquired(pending.request(), claim.claimId()));
    }

    private void abandonLateClaim(ClaimRecord.Claimed claim, Effects effects) {
        writer.add(new ClaimRecord.Abandoned(claim.key(), claim.claimId()));
        effects.add(new Effect.LogDecision(Decision.builder("abandon-claim")
                .field("key", claim.key())
                .field("claim", claim.claimId())
                .field("reason", "the request was refused or abandoned before its claim was read")
                .build()));
    }

    private void resolveAll(String key, Instant now) {
        for (PendingRequest pending : List.copyOf(pendingByKey.getOrDefault(key, Set.of()))) {
            resolve(pending, now);
        }
    }

    private void resolve(PendingRequest pending, Instant now) {
        Optional<ClaimTable.Holder> holder = claimTable.holder(pending.key().identity());
        if (holder.isEmpty() || holder.get().state() instanceof ClaimTable.State.Abandoned) {
            claim(pending, now);
            return;
        }
        withdrawClaim(pending);
        if (!holder.get().bodyDigest().equals(pending.bodyDigest())) {
            refuse(pending, Refusals.keyReused(pending.key()), now);
            return;
        }
        switch (holder.get().state()) {
            case ClaimTable.State.Settled settled -> {
                remove(pending, now);
                results.add(
                        new ClaimResult.Recorded(pending.request(), settled.code(), settled.run(), settled.output()));
            }
            case ClaimTable.State.Running ignored
            when !isMember(holder.get().claimer()) ->
                refuse(
                        pending,
                        Refusals.holderNotAMember(pending.key(), holder.get().claimer()),
                        now);
            // The holder may be paused and send at any time, so its claim is never taken over: wait for its outcome.
            case ClaimTable.State.Running ignored -> {}
            case ClaimTable.State.Abandoned ignored -> {}
        }
    }

    private boolean isMember(NodeId node) {
        return node.equals(self) || members.test(node);
    }

    private void claim(PendingRequest pending, Instant now) {
        if (pending.claim().isPresent()) {
            return;
        }
        if (keyAge.tooOld(pending.key().issuedAt(), reader.completeFrom(), now)) {
            refuse(pending, Refusals.tooOld(pending.key()), now);
            return;
        }
        // The unread part of the log may already hold the outcome of the key, and a claim appended now would be read
        // back only after it, too late for most deadlines.
        if (!reader.caughtUp() || reader.isUnavailable(now)) {
            refuse(pending, Refusals.logUnavailable(pending.key(), pending.arrivedAt()), now);
            return;
        }
        lastClaimNumber++;
        ClaimRecord.Claimed claim = new ClaimRecord.Claimed(
                pending.key().identity(),
                claimIds.apply(lastClaimNumber),
                pending.key().issuedAt(),
                self,
                pending.bodyDigest());
        pending.setClaim(claim);
        pendingByClaim.put(claim.claimId(), pending);
        writer.add(claim);
    }

    /** Removes a claim that has not been sent yet, because another claim holds the key. */
    private void withdrawClaim(PendingRequest pending) {
        if (pending.claim().isEmpty() || !writer.remove(pending.claim().get())) {
            return;
        }
        pendingByClaim.remove(pending.claim().get().claimId());
        pending.clearClaim();
    }

    /** Refuses pending requests that have expired or whose wait cannot succeed. */
    private void refuseExpired(Instant now) {
        boolean unavailable = reader.isUnavailable(now);
        for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
            Optional<ClaimTable.Holder> runningHolder = runningHolder(pending);
            if (runningHolder.isEmpty() && (unavailable || pending.isExpired(now))) {
                refuse(pending, Refusals.logUnavailable(pending.key(), pending.arrivedAt()), now);
                continue;
            }
            if (runningHolder.isPresent() && !isMember(runningHolder.get().claimer())) {
                refuse(
                        pending,
                        Refusals.holderNotAMember(
                                pending.key(), runningHolder.get().claimer()),
                        now);
                continue;
            }
            if (pending.isExpired(now)) {
                refuse(pending, Refusals.inProgress(pending.key()), now);
            }
        }
    }

    private Optional<ClaimTable.Holder> runningHolder(PendingRequest pending) {
        Optional<ClaimTable.Holder> holder = claimTable.holder(pending.key().identity());
        if (holder.isPresent() && holder.get().state() instanceof ClaimTable.State.Running) {
            return holder;
        }
        return Optional.empty();
    }

    /**
     * Handles a gap: the log dropped records that this node never read, so a key may have been claimed without its
     * knowledge. Clears the claim table and refuses all pending requests.
     */
    private void resetAfterGap(Instant now) {
        for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
            boolean running = runningHolder(pending).isPresent();
            refuse(
                    pending,
                    running
                            ? Refusals.inProgress(pending.key())
                            : Refusals.logUnavailable(pending.key(), pending.arrivedAt()),
                    now);
        }
        claimTable.clear();
    }

    private void refuse(PendingRequest pending, Refusal refusal, Instant now) {
        remove(pending, now);
        results.add(new ClaimResult.Refused(pending.request(), refusal));
    }

    /**
     * Removes a pending request. A claim in flight can then no longer win for this node. The entry is removed before
     * the caller gets an answer, so that "not run" stays true even if the claim appears on the log later.
     */
    private void remove(PendingRequest pending, Instant now) {
        pendingRequests.remove(pending.request());
        Set<PendingRequest> others = pendingByKey.get(pending.key().identity());
        others.remove(pending);
        if (others.isEmpty()) {
            pendingByKey.remove(pending.key().identity());
        }
        if (pending.claim().isEmpty()) {
            return;
        }
        ClaimRecord.Claimed claim = pending.claim().get();
        pendingByClaim.remove(claim.claimId());
        if (!writer.remove(claim)) {
            claimsGivenUpInFlight.put(claim.claimId(), now);
        }
    }

    private void flush(Instant now, Effects effects) {
        writer.flush(this::isStillNeeded, now, effects);
    }

    private boolean isStillNeeded(ClaimRecord record) {
        return !(record instanceof ClaimRecord.Claimed) || pendingByClaim.containsKey(record.claimId());
    }

    /** Builder for {@link Claims}. */
    public static final class Builder {
        private static final Duration DEFAULT_RETENTION = Duration.ofHours(1);
        private static final Duration MIN_RETENTION = Duration.ofMinutes(10);
        private static final Duration DEFAULT_MIN_APPEND_INTERVAL = Duration.ofMillis(5);
        private static final int DEFAULT_APPENDS_PER_SECOND = 30;

        private final NodeId self;
        private LongFunction<String> claimIds;
        private Predicate<NodeId> members = ignored -> true;
        private Duration retention = DEFAULT_RETENTION;
        private Duration minAppendInterval = DEFAULT_MIN_APPEND_INTERVAL;
        private int appendsPerSecond = DEFAULT_APPENDS_PER_SECOND;

        private Builder(NodeId self) {
            this.self = Objects.requireNonNull(self);
            this.claimIds = number -> self + "/" + number;
        }

        /** Sets how claim ids are generated from an increasing number; default: the node id and the number. */
        public Builder claimIds(LongFunction<String> idGenerator) {
            this.claimIds = Objects.requireNonNull(idGenerator);
            return this;
        }

        /**
         * Sets which nodes can still record an outcome; default: all. Keys held by other nodes are reported as unknown
         * at once.
         */
        public Builder members(Predicate<NodeId> isMember) {
            this.members = Objects.requireNonNull(isMember);
            return this;
        }

        /**
         * Sets the log service's retention, at least 10 minutes; default 1 hour. It must not exceed the service's
         * actual retention. A key is accepted for 6 minutes less than this.
         */
        public Builder retention(Duration value) {
            if (value.compareTo(MIN_RETENTION) < 0) {
                throw new IllegalArgumentException("retention is " + value + "; expected at least " + MIN_RETENTION);
            }
            this.retention = value;
            return this;
        }

        /** Sets the minimum interval between two appends; default 5 ms. */
        public Builder minAppendInterval(Duration value) {
            this.minAppendInterval = Objects.requireNonNull(value);
            return this;
        }

        /** Sets this node's share of the log service's append rate, on top of a burst of 10; default 30 per second. */
        public Builder appendsPerSecond(int value) {
            if (value < 1) {
                throw new IllegalArgumentException("appends per second is " + value + "; expected at least 1");
            }
            this.appendsPerSecond = value;
            return this;
        }

        public Claims build() {
            return new Claims(this);
        }
    }
}
