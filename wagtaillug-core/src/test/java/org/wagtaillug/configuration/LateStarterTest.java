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
 * A node that starts after retention has dropped the oldest records shows a zone as in service that operators took out:
 * it saw only the end of the log, in which a change that had lost everywhere else looked like a winner. The state must be
 * the same as at a node that read everything, or the node must say that it is incomplete.
 */
class LateStarterTest {

    @Provide
    Arbitrary<List<RecordSteps.Step>> steps() {
        return RecordSteps.lists(30);
    }

    @Property(tries = 150, seed = "20261204", edgeCases = EdgeCasesMode.NONE)
    void endsWithTheSameStateOrSaysIncompleteForEveryCut(@ForAll("steps") List<RecordSteps.Step> steps) {
        FakeLog log = withSnapshots(steps);
        ControlState full = ControlStateTest.folded(log);
        for (long cut = 1; cut <= full.through() + 1; cut++) {
            log.dropBefore(cut);
            ControlLog late = read(log);
            assertThat(late.complete()).as("cut %s", cut).isEqualTo(reachable(log, cut));
            if (!late.complete()) {
                assertThat(late.tailAskedAt()).isEmpty();
                continue;
            }
            assertThat(late.state().entries()).isEqualTo(full.entries());
            assertThat(late.state().members()).isEqualTo(full.members());
            assertThat(late.state().digest()).isEqualTo(full.digest());
            assertThat(late.state().through()).isEqualTo(full.through());
        }
    }

    /** Every seventh record begins a snapshot in two parts; others come between, and some parts are lost. */
    private static FakeLog withSnapshots(List<RecordSteps.Step> steps) {
        FakeLog log = new FakeLog();
        int count = 0;
        for (RecordSteps.Step step : steps) {
            count++;
            log.append(RecordSteps.record(step, log.all()), Instant.EPOCH);
            if (count % 7 != 0) {
                continue;
            }
            ControlState state = ControlStateTest.folded(log);
            List<StateEntry> entries = state.entries();
            int half = entries.size() / 2;
            String id = "snapshot-" + count;
            long through = state.through();
            log.append(new SnapshotPart(id, through, 0, 2, entries.subList(0, half), state.members()), Instant.EPOCH);
            log.append(RecordSteps.record(step, log.all()), Instant.EPOCH);
            if (step.author() < 6) {
                log.append(
                        new SnapshotPart(id, through, 1, 2, entries.subList(half, entries.size()), List.of()),
                        Instant.EPOCH);
            }
        }
        return log;
    }

    /** Whether a way leads from nothing to the tail: all is there, or a whole snapshot that reaches the oldest record. */
    private static boolean reachable(FakeLog log, long cut) {
        if (cut == 1) {
            return true;
        }
        for (LogBatch.Entry first : log.all()) {
            if (first.offset() < cut || !(first.record() instanceof SnapshotPart part) || part.part() != 0) {
                continue;
            }
            boolean whole = log.all().stream()
                    .map(LogBatch.Entry::record)
                    .anyMatch(record -> record instanceof SnapshotPart other
                            && other.snapshotId().equals(part.snapshotId())
                            && other.part() == 1);
            if (whole && part.through() >= cut - 1) {
                return true;
            }
        }
        return false;
    }

    private static ControlLog read(FakeLog log) {
        ControlLog late = ControlLog.builder(Samples.node(9), Samples.ADDRESS, new ControlState())
                .build();
        Effects effects = new Effects();
        for (int tick = 1; tick <= 60; tick++) {
            Instant now = Instant.ofEpochMilli(100L * tick);
            late.onTick(now, effects);
            for (Effect effect : effects.drain()) {
                if (effect instanceof Effect.ReadLog read) {
                    late.onLogRead(now, log.read(read.from(), 3), now, effects);
                }
            }
        }
        return late;
    }
}
