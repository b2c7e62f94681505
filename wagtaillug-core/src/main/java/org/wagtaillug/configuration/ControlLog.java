package org.wagtaillug.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.log.LogRecord.SnapshotPart;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Keeps a {@link ControlState} up to date with the control stream: reads the stream, appends and answers operators'
 * changes, and writes snapshots.
 *
 * <pre>{@code
 * ControlLog log = ControlLog.builder(self, address, new ControlState()).build();
 * log.onTick(now, effects);
 * log.onLogRead(sentAt, batch, now, effects);
 * }</pre>
 */
public final class ControlLog {
    /** Default interval between snapshots. Must be well below the log's retention, at most a third of it. */
    public static final Duration DEFAULT_SNAPSHOT_INTERVAL = Duration.ofMinutes(10);

    /** A read that is not answered within this time counts as failed, and another one is sent. */
    static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    /**
     * The log counts as unreachable if a read is not answered within this time. Longer than a read waits at the tail,
     * and short enough for all nodes to tell one another before their leases expire.
     */
    static final Duration SLOW_READ_THRESHOLD = Duration.ofMillis(1500);

    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration TAIL_WAIT_THRESHOLD = Duration.ofMillis(100);

    private final NodeId self;
    private final NodeAddress address;
    private final ControlState state;
    private final PendingChanges pending;
    private final SnapshotWriter snapshotWriter;
    private final SnapshotAssembler assembler = new SnapshotAssembler();
    private Optional<RosterListener> listener = Optional.empty();

    private Optional<Instant> readSentAt = Optional.empty();
    private Optional<Instant> nextReadAt = Optional.empty();
    private Duration retryDelay = INITIAL_RETRY_DELAY;
    private boolean lastReadSucceeded;
    private Optional<Instant> tailReadSentAt = Optional.empty();
    private boolean complete;

    private long oldestRetained;
    private long snapshotScanFrom;
    private boolean gapReported;
    private boolean invalidBatchReported;

    private ControlLog(Builder builder) {
        this.self = builder.self;
        this.address = builder.address;
        this.state = builder.state;
        this.pending = new PendingChanges(state);
        this.snapshotWriter = new SnapshotWriter(self, state, builder.snapshotInterval);
    }

    /** Starts a builder for the log of one node. */
    public static Builder builder(NodeId self, NodeAddress address, ControlState state) {
        return new Builder(self, address, state);
    }

    /** Builder for {@link ControlLog}. */
    public static final class Builder {
        private final NodeId self;
        private final NodeAddress address;
        private final ControlState state;
        private Duration snapshotInterval = DEFAULT_SNAPSHOT_INTERVAL;

        private Builder(NodeId self, NodeAddress address, ControlState state) {
            this.self = Objects.requireNonNull(self);
            this.address = Objects.requireNonNull(address);
            this.state = Objects.requireNonNull(state);
        }

        /** Sets the interval between snapshots; default {@link #DEFAULT_SNAPSHOT_INTERVAL}. */
        public Builder snapshotInterval(Duration interval) {
            this.snapshotInterval = Objects.requireNonNull(interval);
            return this;
        }

        public ControlLog build() {
            return new ControlLog(this);
        }
    }

    /** The id of this node. */
    public NodeId self() {
        return self;
    }

    /** The address at which this node listens for other nodes. */
    public NodeAddress address() {
        return address;
    }

    /** The state derived from the records read so far. */
    public ControlState state() {
        return state;
    }

    /** Sets the listener for changes of the roster. */
    public void listener(RosterListener rosterListener) {
        this.listener = Optional.of(rosterListener);
    }

    /** Whether this node has a complete state: it has read to the tail once, or has adopted a peer's state. */
    public boolean complete() {
        return complete;
    }

    /**
     * When the newest read that reached the tail was sent. All records that were on the stream at that time have been
     * applied here.
     */
    public Optional<Instant> tailReadSentAt() {
        return tailReadSentAt;
    }

    /** Whether the last read was answered and no read has been pending for longer than usual. */
    public boolean logReachable(Instant now) {
        boolean readIsSlow =
                readSentAt.isPresent() && !now.isBefore(readSentAt.get().plus(SLOW_READ_THRESHOLD));
        return lastReadSucceeded && !readIsSlow;
    }

    /** Ends the delay before the next read, for example because a peer has read more. */
    public void readWithoutDelay(Instant now) {
        nextReadAt = Optional.of(now);
    }

    /** Sends the next read, times out unanswered reads and changes, and writes snapshots. */
    public void onTick(Instant now, Effects effects) {
        if (readSentAt.isPresent() && !now.isBefore(readSentAt.get().plus(READ_TIMEOUT))) {
            // A connection that went silent never ends the read by itself: the next read is sent on a new connection.
            onLogReadFailed(now, effects);
        }
        readIfIdle(now, effects);
        pending.onTick(tailReadSentAt, now, effects);
        if (complete && logReachable(now)) {
            snapshotWriter.onTick(now, effects);
        }
    }

    private void readIfIdle(Instant now, Effects effects) {
        if (readSentAt.isPresent()) {
            return;
        }
        if (nextReadAt.isPresent() && now.isBefore(nextReadAt.get())) {
            return;
        }
        readSentAt = Optional.of(now);
        effects.add(new Effect.ReadLog(LogStream.CONTROL, nextOffset()));
    }

    private long nextOffset() {
        long next = state.through() + 1;
        return next < oldestRetained ? Math.max(snapshotScanFrom, oldestRetained) : next;
    }

    /**
     * Applies the response to a read. The response to a read that timed out is applied as well: its content is still
     * valid.
     *
     * @param sentAt when the read was sent
     * @param batch the response
     */
    public void onLogRead(Instant sentAt, LogBatch batch, Instant now, Effects effects) {
        if (!isValid(batch, effects)) {
            onLogReadFailed(now, effects);
            return;
        }
        if (readSentAt.isPresent() && !sentAt.isBefore(readSentAt.get())) {
            readSentAt = Optional.empty();
        }
        lastReadSucceeded = true;
        invalidBatchReported = false;
        retryDelay = INITIAL_RETRY_DELAY;
        nextReadAt = Optional.empty();
        applyBatch(batch, now, effects);
        updateTail(sentAt, batch);
        pending.answerResolved(effects);
        // At the tail the service answers only when a record arrives or its wait ends. If it answers at once with no
        // records, the next read waits for the next tick, since reading again immediately would loop.
        boolean waitedAtTail = !now.isBefore(sentAt.plus(TAIL_WAIT_THRESHOLD));
        if (waitedAtTail || !batch.entries().isEmpty()) {
            readIfIdle(now, effects);
        }
    }

    /** Whether a batch is consistent with its read. */
    private boolean isValid(LogBatch batch, Effects effects) {
        if (batch.end() < batch.from()) {
            // Reads ask for nothing beyond the record after the last one known. If the service says that it never had
            // that one, it has lost records or is a different service; following it would revert changes that are in
            // force.
            return reportInvalidBatch("control-log-went-back", batch.from(), batch.end(), effects);
        }
        long expected = Math.max(batch.from(), batch.oldest());
        for (LogBatch.Entry entry : batch.entries()) {
            if (entry.offset() != expected) {
                return reportInvalidBatch("control-log-unsound", expected, entry.offset(), effects);
            }
            expected++;
        }
        return expected <= batch.end() || reportInvalidBatch("control-log-unsound", expected, batch.end(), effects);
    }

    private boolean reportInvalidBatch(String kind, long expected, long got, Effects effects) {
        if (!invalidBatchReported) {
            invalidBatchReported = true;
            effects.add(new Effect.LogDecision(Decision.builder(kind)
                    .field("expected", expected)
                    .field("got", got)
                    .build()));
        }
        return false;
    }

    private void applyBatch(LogBatch batch, Instant now, Effects effects) {
        oldestRetained = Math.max(oldestRetained, batch.oldest());
        for (LogBatch.Entry entry : batch.entries()) {
            if (entry.offset() <= state.through() + 1) {
                applyEntry(entry, now);
            }
            if (entry.record() instanceof SnapshotPart part) {
                addSnapshotPart(part, entry, batch, now, effects);
            }
        }
        if (state.through() + 1 >= oldestRetained) {
            snapshotScanFrom = 0;
            gapReported = false;
            return;
        }
        // Records are missing between the state and the oldest record that the log retains. Applying later records
        // could let an older change that was appended again win against one that was dropped; only a complete snapshot
        // or a peer's state closes the gap.
        snapshotScanFrom = Math.max(snapshotScanFrom, batch.next());
        if (gapReported) {
            return;
        }
        gapReported = true;
        effects.add(new Effect.LogDecision(Decision.builder("control-log-gap")
                .field("through", state.through())
                .field("oldest", oldestRetained)
                .build()));
    }

    private void applyEntry(LogBatch.Entry entry, Instant now) {
        long before = state.rosterOffset();
        state.apply(entry);
        if (state.rosterOffset() != before) {
            listener.ifPresent(target -> target.rosterChanged(entry.offset(), now));
        }
    }

    private void addSnapshotPart(
            SnapshotPart part, LogBatch.Entry entry, LogBatch batch, Instant now, Effects effects) {
        Optional<SnapshotAssembler.Snapshot> assembled = assembler.add(part);
        if (assembled.isEmpty()) {
            return;
        }
        SnapshotAssembler.Snapshot snapshot = assembled.get();
        Duration age = Duration.between(entry.time(), batch.entries().getLast().time());
        snapshotWriter.onSnapshotRead(snapshot.through(), age.isNegative() ? Duration.ZERO : age, now);
        if (!state.adopt(snapshot.through(), snapshot.entries(), snapshot.members())) {
            return;
        }
        effects.add(new Effect.LogDecision(Decision.builder("control-snapshot-adopted")
                .field("through", snapshot.through())
                .build()));
        listener.ifPresent(target -> target.rosterReplaced(snapshot.through(), now));
    }

    private void updateTail(Instant sentAt, LogBatch batch) {
        if (state.through() < batch.end() - 1) {
            return;
        }
        complete = true;
        if (tailReadSentAt.isEmpty() || tailReadSentAt.get().isBefore(sentAt)) {
            tailReadSentAt = Optional.of(sentAt);
        }
    }

    /** Handles a failed read; the next one is sent after 200 ms, with a delay that doubles up to 1 s. */
    public void onLogReadFailed(Instant now, Effects effects) {
        readSentAt = Optional.empty();
        lastReadSucceeded = false;
        nextReadAt = Optional.of(now.plus(retryDelay));
        Duration doubled = retryDelay.multipliedBy(2);
        retryDelay = doubled.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : doubled;
    }

    /**
     * Appends an operator's change. The answer, {@link Effect.ChangeAccepted} or {@link Effect.ChangeRefused}, follows
     * when this node has read the record in order.
     */
    public void submit(Change change, Instant now, Effects effects) {
        pending.submit(change, complete, now, effects);
    }

    /** Handles the acknowledgement of an append. Returns whether the append was sent by this component. */
    public boolean onAppended(long append, long offset, Instant now, Effects effects) {
        if (snapshotWriter.onAppendEnded(append)) {
            return true;
        }
        if (!pending.onAppended(append, offset)) {
            return false;
        }
        pending.answerResolved(effects);
        return true;
    }

    /** Handles a failed append. Returns whether the append was sent by this component. */
    public boolean onAppendFailed(long append, boolean mayTakeEffect, Instant now, Effects effects) {
        return snapshotWriter.onAppendEnded(append) || pending.onAppendFailed(append, mayTakeEffect, now, effects);
    }

    /** Answers a peer's request for the state; sends nothing while there is none. */
    public void onStateRequest(VmId requester, Effects effects) {
        if (state.through() == 0) {
            return;
        }
        effects.add(new Effect.SendToPeer(
                requester, new PeerMessage.StateReply(state.through(), state.entries(), state.members())));
    }

    /**
     * Adopts a peer's state if it is newer.
     *
     * @return whether it was adopted
     */
    public boolean onStateReply(PeerMessage.StateReply reply, Instant now, Effects effects) {
        if (!state.adopt(reply.through(), reply.entries(), reply.members())) {
            return false;
        }
        onStateReplaced("control-state-adopted", now, effects);
        return true;
    }

    /**
     * Replaces a state that was found corrupt.
     *
     * @param expectedDigest the digest that several peers agree on
     * @return whether the state was replaced
     */
    public boolean onRepair(long expectedDigest, PeerMessage.StateReply reply, Instant now, Effects effects) {
        if (!state.repair(expectedDigest, reply.through(), reply.entries(), reply.members())) {
            return false;
        }
        onStateReplaced("control-state-repaired", now, effects);
        return true;
    }

    private void onStateReplaced(String kind, Instant now, Effects effects) {
        complete = true;
        effects.add(new Effect.LogDecision(
                Decision.builder(kind).field("through", state.through()).build()));
        listener.ifPresent(target -> target.rosterReplaced(state.through(), now));
        pending.answerResolved(effects);
    }
}
