package org.wagtaillug.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.configuration.Samples.ADDRESS;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.contract.Body;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.log.LogRecord.RosterChange;
import org.wagtaillug.log.LogRecord.RosterChangeKind;
import org.wagtaillug.log.LogRecord.SnapshotPart;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;
import org.wagtaillug.result.ResultCode;

class ControlLogTest {
    private static final NodeId SELF = Samples.node(1);
    private static final String KEY = Body.domainKey(Samples.DOMAIN);

    private final FakeLog stream = new FakeLog();
    private final Effects effects = new Effects();
    private final ControlLog log =
            ControlLog.builder(SELF, ADDRESS, new ControlState()).build();
    private Instant now = Instant.EPOCH;

    @BeforeEach
    void readToTheTail() {
        log.onTick(now, effects);
        read(1);
        effects.drain();
    }

    private void read(long from) {
        log.onLogRead(now, stream.read(from, 100), now, effects);
    }

    private List<Effect> tickAfter(long milliseconds) {
        now = now.plusMillis(milliseconds);
        log.onTick(now, effects);
        return effects.drain();
    }

    private static Change change(String id, long base, boolean out) {
        return Samples.change("anita", id, base, Samples.service(out));
    }

    /** Submits a change and returns the number of its append. */
    private long submit(Change change) {
        log.submit(change, now, effects);
        List<Effect> emitted = effects.drain();
        assertThat(emitted).hasSize(1).first().isInstanceOf(Effect.AppendToLog.class);
        return ((Effect.AppendToLog) emitted.getFirst()).append();
    }

    private Effect.ChangeRefused refusal() {
        for (Effect effect : effects.drain()) {
            if (effect instanceof Effect.ChangeRefused refused) {
                return refused;
            }
        }
        throw new AssertionError("no refusal");
    }

    @Test
    void retriesFailedReadsWithExponentialBackoff() {
        List<Long> pauses = new ArrayList<>();
        tickAfter(50);
        for (int failure = 0; failure < 5; failure++) {
            log.onLogReadFailed(now, effects);
            assertThat(log.logReachable(now)).isFalse();
            long pause = 0;
            while (tickAfter(100).isEmpty()) {
                pause += 100;
            }
            pauses.add(pause + 100);
        }
        assertThat(pauses).containsExactly(200L, 400L, 800L, 1000L, 1000L);
    }

    /**
     * The connection of a read went silent and nothing ended the read, so that the node never learned of another
     * change. The node must first count the log as unreachable and then read on a new connection.
     */
    @Test
    void timesOutAReadOnASilentConnection() {
        assertThat(tickAfter(50)).contains(new Effect.ReadLog(LogStream.CONTROL, 1));
        assertThat(log.logReachable(now)).isTrue();
        tickAfter(ControlLog.SLOW_READ_THRESHOLD.toMillis());
        assertThat(log.logReachable(now)).isFalse();
        assertThat(tickAfter(3_400)).isEmpty();
        tickAfter(100);
        assertThat(tickAfter(200)).hasSize(1);
        stream.append(change("c", 0, true), now);
        read(1);
        assertThat(log.logReachable(now)).isTrue();
        assertThat(log.state().through()).isEqualTo(1);
    }

    @Test
    void theTailIsConfirmedAsOfTheTimeWhenTheReadWasSent() {
        Instant sent = now.plusMillis(50);
        tickAfter(50);
        LogBatch batch = stream.read(1, 100);
        now = now.plusSeconds(2);
        log.onLogRead(sent, batch, now, effects);
        assertThat(log.tailReadSentAt()).contains(sent);
        stream.append(change("c", 0, true), now);
        stream.append(change("d", 1, false), now);
        log.onLogRead(now, stream.read(1, 1), now, effects);
        assertThat(log.tailReadSentAt()).as("one record was left").contains(sent);
    }

    @Test
    void refusesInvalidChangesOnSubmission() {
        Change wrongKey = new Change("domain/pl-b", 0, change("c", 0, true).body(), new OperatorId("anita"), "c");
        log.submit(wrongKey, now, effects);
        assertThat(refusal().refusal().message()).contains("expected domain/pl-a");
        Body large = new Body.Unknown("x", "y".repeat(150_000));
        log.submit(new Change("x/1", 0, large, new OperatorId("anita"), "d"), now, effects);
        assertThat(refusal().refusal().code()).isEqualTo(ResultCode.TOO_LARGE);
        submit(change("e", 0, true));
        log.submit(change("e", 1, true), now, effects);
        assertThat(refusal().refusal().message()).contains("unique");
        ControlLog incomplete =
                ControlLog.builder(SELF, ADDRESS, new ControlState()).build();
        incomplete.submit(change("c", 0, true), now, effects);
        assertThat(refusal().refusal().code()).isEqualTo(ResultCode.NOT_READY);
    }

    /** A state adopted from a peer skips the record of a change that is pending here. */
    @Test
    void aChangeSkippedByAnAdoptedStateIsAnsweredFromTheKeysVersion() {
        long won = submit(change("c", 0, true));
        log.onAppended(won, 1, now, effects);
        ControlState peer = new ControlState();
        stream.append(change("c", 0, true), now);
        stream.append(change("d", 1, false), now);
        stream.append(change("e", 1, true), now);
        peer.apply(stream.all().get(0));
        assertThat(log.onStateReply(new PeerMessage.StateReply(1, peer.entries(), List.of()), now, effects))
                .isTrue();
        assertThat(effects.drain()).contains(new Effect.ChangeAccepted("c", 1));
        log.onAppended(submit(change("e", 1, true)), 3, now, effects);
        log.onAppended(submit(change("d", 1, false)), 2, now, effects);
        peer.apply(stream.all().get(1));
        peer.apply(stream.all().get(2));
        log.onStateReply(new PeerMessage.StateReply(3, peer.entries(), List.of()), now, effects);
        List<Effect> emitted = effects.drain();
        assertThat(emitted).contains(new Effect.ChangeAccepted("d", 2));
        assertThat(emitted)
                .anyMatch(effect -> effect instanceof Effect.ChangeRefused refused
                        && refused.changeId().equals("e")
                        && refused.refusal().code() == ResultCode.CHANGE_CROSSED);
    }

    /**
     * After the log service was set up again, empty, every node would follow the empty log and drop what operators have
     * set. A node must keep its state and must not count the tail as read.
     */
    @Test
    void aLogThatLostRecordsIsNotFollowed() {
        stream.append(change("c", 0, true), now);
        read(1);
        Optional<Instant> tail = log.tailReadSentAt();
        now = now.plusSeconds(1);
        log.onLogRead(now, new FakeLog().read(2, 100), now, effects);
        assertThat(log.logReachable(now)).isFalse();
        assertThat(log.tailReadSentAt()).isEqualTo(tail);
        assertThat(log.state().entry(KEY)).isPresent();
    }

    @Test
    void writesASnapshotInPartsWithinTheSizeLimitWhenNoneWasRead() {
        stream.append(new RosterChange(RosterChangeKind.JOIN, SELF, SELF, Optional.of(ADDRESS)), now);
        for (int key = 0; key < 10; key++) {
            Body body = new Body.Unknown("x", "y".repeat(30_000));
            stream.append(new Change("x/" + key, 0, body, new OperatorId("anita"), "c" + key), now);
        }
        read(1);
        assertThat(snapshots(tickAfter(50))).isEmpty();
        now = now.plus(ControlLog.DEFAULT_SNAPSHOT_INTERVAL).minusMillis(51);
        read(12);
        assertThat(snapshots(tickAfter(0))).isEmpty();
        List<SnapshotPart> parts = snapshots(tickAfter(51));
        assertThat(parts).hasSize(4);
        assertThat(snapshots(tickAfter(50))).isEmpty();
        SnapshotAssembler assembler = new SnapshotAssembler();
        Optional<SnapshotAssembler.Snapshot> assembled = Optional.empty();
        for (SnapshotPart part : parts.reversed()) {
            assembled = assembler.add(part);
            stream.append(part, now);
        }
        assertThat(assembled.get().entries()).isEqualTo(log.state().entries());
        assertThat(assembled.get().members()).isEqualTo(log.state().members());
        read(12);
        now = now.plus(ControlLog.DEFAULT_SNAPSHOT_INTERVAL).minus(Duration.ofSeconds(1));
        read(16);
        assertThat(snapshots(tickAfter(0))).isEmpty();
        assertThat(snapshots(tickAfter(1_000))).isNotEmpty();
    }

    private static List<SnapshotPart> snapshots(List<Effect> effects) {
        List<SnapshotPart> parts = new ArrayList<>();
        for (Effect effect : effects) {
            if (effect instanceof Effect.AppendToLog append && append.record() instanceof SnapshotPart part) {
                parts.add(part);
            }
        }
        return parts;
    }

    @Test
    void recordsAfterTheOffsetOfASnapshotAreStillRead() {
        for (int count = 0; count < 3; count++) {
            stream.append(change("c" + count, count, true), now);
        }
        ControlState early = new ControlState();
        early.apply(stream.all().get(0));
        LogRecord part = new SnapshotPart("s", 1, 0, 1, early.entries(), List.of());
        stream.append(part, now);
        stream.dropBefore(2);
        ControlLog late = ControlLog.builder(SELF, ADDRESS, new ControlState()).build();
        late.onLogRead(now, stream.read(1, 100), now, effects);
        assertThat(late.complete()).isFalse();
        assertThat(late.state().through()).isEqualTo(1);
        late.onLogRead(now, stream.read(2, 100), now, effects);
        assertThat(late.complete()).isTrue();
        assertThat(late.state().versionOf(KEY)).isEqualTo(3);
    }
}
