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
 * Keeps a {@link ControlState} up with the control stream: reads it, appends operators' changes and answers them, and
 * writes snapshots.
 *
 * <pre>{@code
 * ControlLog log = ControlLog.builder(self, address, new ControlState()).build();
 * log.onTick(now, effects);
 * log.onLogRead(askedAt, batch, now, effects);
 * }</pre>
 */
public final class ControlLog {
    /** How old the newest snapshot may grow by default. Must be well under the log's retention, a third at most. */
    public static final Duration DEFAULT_SNAPSHOT_EVERY = Duration.ofMinutes(10);

    /** After this long without an answer a read counts as failed, and another is sent. */
    static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    /**
     * After this long without an answer the log no longer counts as reachable. Longer than a read waits at the tail, and
     * so short that all nodes have said so to one another before their leases lapse.
     */
    static final Duration READ_SLOW = Duration.ofMillis(1500);

    private static final Duration FIRST_RETRY = Duration.ofMillis(200);
    private static final Duration LAST_RETRY = Duration.ofSeconds(1);
    private static final Duration WAITED_AT_TAIL = Duration.ofMillis(100);

    private final NodeId self;
    private final NodeAddress address;
    private final ControlState state;
    private final PendingChanges pending;
    private final SnapshotWriter writer;
    private final SnapshotAssembler assembler = new SnapshotAssembler();
    private Optional<RosterListener> listener = Optional.empty();

    private Optional<Instant> readSentAt = Optional.empty();
    private Optional<Instant> nextReadAt = Optional.empty();
    private Duration retry = FIRST_RETRY;
    private boolean answered;
    private Optional<Instant> tailAskedAt = Optional.empty();
    private boolean complete;

    private long oldestHeld;
    private long scanFrom;
    private boolean gapTold;
    private boolean faultTold;

    private ControlLog(Builder builder) {
        this.self = builder.self;
        this.address = builder.address;
        this.state = builder.state;
        this.pending = new PendingChanges(state);
        this.writer = new SnapshotWriter(self, state, builder.snapshotEvery);
    }

    /** Starts a log for one node. */
    public static Builder builder(NodeId self, NodeAddress address, ControlState state) {
        return new Builder(self, address, state);
    }

    /** Collects the parts of a {@link ControlLog}. */
    public static final class Builder {
        private final NodeId self;
        private final NodeAddress address;
        private final ControlState state;
        private Duration snapshotEvery = DEFAULT_SNAPSHOT_EVERY;

        private Builder(NodeId self, NodeAddress address, ControlState state) {
            this.self = Objects.requireNonNull(self);
            this.address = Objects.requireNonNull(address);
            this.state = Objects.requireNonNull(state);
        }

        /** Sets how old the newest snapshot may grow; default {@link #DEFAULT_SNAPSHOT_EVERY}. */
        public Builder snapshotEvery(Duration most) {
            this.snapshotEvery = Objects.requireNonNull(most);
            return this;
        }

        /** Builds the log. */
        public ControlLog build() {
            return new ControlLog(this);
        }
    }

    /** This node. */
    public NodeId self() {
        return self;
    }

    /** Where this node listens for others. */
    public NodeAddress address() {
        return address;
    }

    /** What was read. */
    public ControlState state() {
        return state;
    }

    /** Sets who is told of each change of the roster. */
    public void listener(RosterListener rosterListener) {
        this.listener = Optional.of(rosterListener);
    }

    /** Whether this node holds a whole state: it has read to the tail once, or got one from a peer. */
    public boolean complete() {
        return complete;
    }

    /**
     * When the newest read that reached the tail was sent. At that time no record stood on the stream that is not folded
     * in here.
     */
    public Optional<Instant> tailAskedAt() {
        return tailAskedAt;
    }

    /** Whether the last read was answered and none has been waiting for longer than usual. */
    public boolean logReachable(Instant now) {
        boolean slow = readSentAt.isPresent() && !now.isBefore(readSentAt.get().plus(READ_SLOW));
        return answered && !slow;
    }

    /** Ends a pause between reads, for example because a peer has read more. */
    public void readSoon(Instant now) {
        nextReadAt = Optional.of(now);
    }

    /** Sends the next read, gives up reads and changes that were not answered, writes snapshots. */
    public void onTick(Instant now, Effects effects) {
        if (readSentAt.isPresent() && !now.isBefore(readSentAt.get().plus(READ_TIMEOUT))) {
            // A connection that has gone silent never ends the read by itself: the next read goes out on a new one.
            onLogReadFailed(now, effects);
        }
        readIfIdle(now, effects);
        pending.onTick(tailAskedAt, now, effects);
        if (complete && logReachable(now)) {
            writer.onTick(now, effects);
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
        return next < oldestHeld ? Math.max(scanFrom, oldestHeld) : next;
    }

    /**
     * Takes in what a read gave. An answer to a read that was given up is taken as well: what it says is still true.
     *
     * @param askedAt when the read was sent
     * @param batch what it gave
     */
    public void onLogRead(Instant askedAt, LogBatch batch, Instant now, Effects effects) {
        if (!sound(batch, effects)) {
            onLogReadFailed(now, effects);
            return;
        }
        if (readSentAt.isPresent() && !askedAt.isBefore(readSentAt.get())) {
            readSentAt = Optional.empty();
        }
        answered = true;
        faultTold = false;
        retry = FIRST_RETRY;
        nextReadAt = Optional.empty();
        take(batch, now, effects);
        noteTail(askedAt, batch);
        pending.settle(effects);
        // At the tail the service answers late, when something comes. One that answers at once, with nothing, would be
        // asked without end if the next read did not wait for the next tick.
        boolean waited = !now.isBefore(askedAt.plus(WAITED_AT_TAIL));
        if (waited || !batch.entries().isEmpty()) {
            readIfIdle(now, effects);
        }
    }

    /** Whether a batch can be what it claims to be. */
    private boolean sound(LogBatch batch, Effects effects) {
        if (batch.end() < batch.from()) {
            // Reads ask for nothing beyond the record after the last one known. A service that says it never had that
            // one has lost records or is another service; to follow it would revert changes that are in force.
            return fault("control-log-went-back", batch.from(), batch.end(), effects);
        }
        long expected = Math.max(batch.from(), batch.oldest());
        for (LogBatch.Entry entry : batch.entries()) {
            if (entry.offset() != expected) {
                return fault("control-log-unsound", expected, entry.offset(), effects);
            }
            expected++;
        }
        return expected <= batch.end() || fault("control-log-unsound", expected, batch.end(), effects);
    }

    private boolean fault(String kind, long expected, long got, Effects effects) {
        if (!faultTold) {
            faultTold = true;
            effects.add(new Effect.LogDecision(Decision.builder(kind)
                    .field("expected", expected)
                    .field("got", got)
                    .build()));
        }
        return false;
    }

    private void take(LogBatch batch, Instant now, Effects effects) {
        oldestHeld = Math.max(oldestHeld, batch.oldest());
        for (LogBatch.Entry entry : batch.entries()) {
            if (entry.offset() <= state.through() + 1) {
                fold(entry, now);
            }
            if (entry.record() instanceof SnapshotPart part) {
                takePart(part, entry, batch, now, effects);
            }
        }
        if (state.through() + 1 >= oldestHeld) {
            scanFrom = 0;
            gapTold = false;
            return;
        }
        // Records are missing between what is known and what the log still holds. Folding on could let a republished
        // older change win against one that was dropped; only a whole snapshot or a peer's state leads across.
        scanFrom = Math.max(scanFrom, batch.next());
        if (gapTold) {
            return;
        }
        gapTold = true;
        effects.add(new Effect.LogDecision(Decision.builder("control-log-gap")
                .field("through", state.through())
                .field("oldest", oldestHeld)
                .build()));
    }

    private void fold(LogBatch.Entry entry, Instant now) {
        long before = state.rosterOffset();
        state.fold(entry);
        if (state.rosterOffset() != before) {
            listener.ifPresent(told -> told.rosterChanged(entry.offset(), now));
        }
    }

    private void takePart(SnapshotPart part, LogBatch.Entry entry, LogBatch batch, Instant now, Effects effects) {
        Optional<SnapshotAssembler.Snapshot> whole = assembler.accept(part);
        if (whole.isEmpty()) {
            return;
        }
        SnapshotAssembler.Snapshot snapshot = whole.get();
        Duration age = Duration.between(entry.time(), batch.entries().getLast().time());
        writer.seen(snapshot.through(), age.isNegative() ? Duration.ZERO : age, now);
        if (!state.adopt(snapshot.through(), snapshot.entries(), snapshot.members())) {
            return;
        }
        effects.add(new Effect.LogDecision(Decision.builder("control-snapshot-adopted")
                .field("through", snapshot.through())
                .build()));
        listener.ifPresent(told -> told.rosterReplaced(snapshot.through(), now));
    }

    private void noteTail(Instant askedAt, LogBatch batch) {
        if (state.through() < batch.end() - 1) {
            return;
        }
        complete = true;
        if (tailAskedAt.isEmpty() || tailAskedAt.get().isBefore(askedAt)) {
            tailAskedAt = Optional.of(askedAt);
        }
    }

    /** Takes note that a read failed; the next one waits 200 ms, then longer, up to 1 s. */
    public void onLogReadFailed(Instant now, Effects effects) {
        readSentAt = Optional.empty();
        answered = false;
        nextReadAt = Optional.of(now.plus(retry));
        Duration doubled = retry.multipliedBy(2);
        retry = doubled.compareTo(LAST_RETRY) > 0 ? LAST_RETRY : doubled;
    }

    /**
     * Appends an operator's change. Its answer, {@link Effect.ChangeAccepted} or {@link Effect.ChangeRefused}, comes
     * when this node has read the record in its turn.
     */
    public void submit(Change change, Instant now, Effects effects) {
        pending.submit(change, complete, now, effects);
    }

    /** Takes note of an append's place. Gives whether the append was of this part. */
    public boolean onAppended(long append, long offset, Instant now, Effects effects) {
        if (writer.appendEnded(append)) {
            return true;
        }
        if (!pending.appended(append, offset)) {
            return false;
        }
        pending.settle(effects);
        return true;
    }

    /** Takes note of an append's failure. Gives whether the append was of this part. */
    public boolean onAppendFailed(long append, boolean mayTakeEffect, Instant now, Effects effects) {
        return writer.appendEnded(append) || pending.appendFailed(append, mayTakeEffect, now, effects);
    }

    /** Answers a peer that asks for the state; says nothing while there is none. */
    public void onStateAsk(VmId asker, Effects effects) {
        if (state.through() == 0) {
            return;
        }
        effects.add(new Effect.SendToPeer(
                asker, new PeerMessage.StateReply(state.through(), state.entries(), state.members())));
    }

    /**
     * Takes over a peer's state if it is newer.
     *
     * @return whether it was taken
     */
    public boolean onStateReply(PeerMessage.StateReply reply, Instant now, Effects effects) {
        if (!state.adopt(reply.through(), reply.entries(), reply.members())) {
            return false;
        }
        replaced("control-state-adopted", now, effects);
        return true;
    }

    /**
     * Replaces a state that was found corrupt.
     *
     * @param expectedDigest the digest that several peers agree on
     * @return whether it was replaced
     */
    public boolean onRepair(long expectedDigest, PeerMessage.StateReply reply, Instant now, Effects effects) {
        if (!state.repair(expectedDigest, reply.through(), reply.entries(), reply.members())) {
            return false;
        }
        replaced("control-state-repaired", now, effects);
        return true;
    }

    private void replaced(String kind, Instant now, Effects effects) {
        complete = true;
        effects.add(new Effect.LogDecision(
                Decision.builder(kind).field("through", state.through()).build()));
        listener.ifPresent(told -> told.rosterReplaced(state.through(), now));
        pending.settle(effects);
    }
}
