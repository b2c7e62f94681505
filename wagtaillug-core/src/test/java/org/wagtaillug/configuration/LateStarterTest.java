package org.wagtaillug.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord.SnapshotPart;
import org.wagtaillug.log.LogRecord.StateEntry;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * A node that started after retention had dropped the oldest records showed a zone as in service that operators had
 * taken out: it read only the end of the log, in which a change that had been rejected everywhere else looked valid.
 * The state must be the same as at a node that read everything, or the node must report that it is incomplete.
 */
class LateStarterTest {

    @Provide
    Arbitrary<List<RandomRecords.Step>> steps() {
        return RandomRecords.lists(30);
    }

    @Property(tries = 150, seed = "20261204", edgeCases = EdgeCasesMode.NONE)
    void reachesTheSameStateOrReportsIncompleteForEveryCut(@ForAll("steps") List<RandomRecords.Step> steps) {
        FakeLog log = withSnapshots(steps);
        ControlState fullState = ControlStateTest.stateOf(log);
        for (long oldestRetained = 1; oldestRetained <= fullState.through() + 1; oldestRetained++) {
            log.dropBefore(oldestRetained);
            ControlLog lateNode = read(log);
            assertThat(lateNode.complete())
                    .as("oldest retained offset %s", oldestRetained)
                    .isEqualTo(reachable(log, oldestRetained));
            if (!lateNode.complete()) {
                assertThat(lateNode.tailReadSentAt()).isEmpty();
                continue;
            }
            assertThat(lateNode.state().entries()).isEqualTo(fullState.entries());
            assertThat(lateNode.state().members()).isEqualTo(fullState.members());
            assertThat(lateNode.state().digest()).isEqualTo(fullState.digest());
            assertThat(lateNode.state().through()).isEqualTo(fullState.through());
        }
    }

    /** Every seventh record begins a snapshot of two parts; other records come in between, and some parts are lost. */
    private static FakeLog withSnapshots(List<RandomRecords.Step> steps) {
        FakeLog log = new FakeLog();
        int count = 0;
        for (RandomRecords.Step step : steps) {
            count++;
            log.append(RandomRecords.record(step, log.all()), Instant.EPOCH);
            if (count % 7 != 0) {
                continue;
            }
            ControlState state = ControlStateTest.stateOf(log);
            List<StateEntry> entries = state.entries();
            int half = entries.size() / 2;
            String id = "snapshot-" + count;
            long through = state.through();
            log.append(new SnapshotPart(id, through, 0, 2, entries.subList(0, half), state.members()), Instant.EPOCH);
            log.append(RandomRecords.record(step, log.all()), Instant.EPOCH);
            if (step.author() < 6) {
                log.append(
                        new SnapshotPart(id, through, 1, 2, entries.subList(half, entries.size()), List.of()),
                        Instant.EPOCH);
            }
        }
        return log;
    }

    /**
     * Whether the tail can be reached from an empty state: either no record was dropped, or a complete snapshot covers
     * all dropped records.
     */
    private static boolean reachable(FakeLog log, long oldestRetained) {
        if (oldestRetained == 1) {
            return true;
        }
        for (LogBatch.Entry first : log.all()) {
            if (first.offset() < oldestRetained || !(first.record() instanceof SnapshotPart part) || part.part() != 0) {
                continue;
            }
            boolean complete = log.all().stream()
                    .map(LogBatch.Entry::record)
                    .anyMatch(record -> record instanceof SnapshotPart other
                            && other.snapshotId().equals(part.snapshotId())
                            && other.part() == 1);
            if (complete && part.through() >= oldestRetained - 1) {
                return true;
            }
        }
        return false;
    }

    private static ControlLog read(FakeLog log) {
        ControlLog lateNode = ControlLog.builder(Samples.node(9), Samples.ADDRESS, new ControlState())
                .build();
        Effects effects = new Effects();
        for (int tick = 1; tick <= 60; tick++) {
            Instant now = Instant.ofEpochMilli(100L * tick);
            lateNode.onTick(now, effects);
            for (Effect effect : effects.drain()) {
                if (effect instanceof Effect.ReadLog read) {
                    lateNode.onLogRead(now, log.read(read.from(), 3), now, effects);
                }
            }
        }
        return lateNode;
    }
}
