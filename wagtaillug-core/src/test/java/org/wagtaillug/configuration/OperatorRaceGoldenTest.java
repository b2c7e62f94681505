package org.wagtaillug.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Two operators changed the service state of one zone at the same time through two nodes, and both were told that it
 * worked; or one was told that it failed, retried, and undid the other's change. Causes: conflicting records,
 * acknowledgements lost after the append took effect, delayed appends, an unavailable log. The golden file shows the
 * session.
 */
class OperatorRaceGoldenTest {
    private static final Path GOLDEN = Path.of("src/test/resources/golden/operator-race.txt");

    private final FakeLog stream = new FakeLog();
    private final StringBuilder transcript = new StringBuilder();
    private long timeMillis;

    private final class EntryNode {
        final String name;
        final Effects effects = new Effects();
        final ControlLog log;
        final Map<String, Long> appends = new HashMap<>();

        EntryNode(String name) {
            this.name = name;
            log = ControlLog.builder(new NodeId(new VmId(name), 1), Samples.ADDRESS, new ControlState())
                    .build();
        }

        void tick() {
            log.onTick(now(), effects);
            recordStep("tick");
        }

        void submit(Change change) {
            log.submit(change, now(), effects);
            recordStep(change.operator() + " submits " + change.changeId() + " from version " + change.base() + ": "
                    + change.body());
        }

        void read() {
            LogBatch batch = stream.read(log.state().through() + 1, 100);
            log.onLogRead(now(), batch, now(), effects);
            recordStep("reads " + batch.entries().size() + " records from " + batch.from());
        }

        void readFailed() {
            log.onLogReadFailed(now(), effects);
            recordStep("read failed");
        }

        void appended(String changeId, long offset) {
            boolean own = log.onAppended(appends.get(changeId), offset, now(), effects);
            recordStep("append of " + changeId + " answered: " + offset + ", own " + own);
        }

        void appendFailed(String changeId, boolean mayTakeEffect) {
            boolean own = log.onAppendFailed(appends.get(changeId), mayTakeEffect, now(), effects);
            recordStep("append of " + changeId + " failed, may take effect " + mayTakeEffect + ", own " + own);
        }

        private void recordStep(String event) {
            transcript.append(String.format("%6d %s < %s%n", timeMillis, name, event));
            for (Effect effect : effects.drain()) {
                if (effect instanceof Effect.AppendToLog append && append.record() instanceof Change change) {
                    appends.put(change.changeId(), append.append());
                }
                transcript.append(String.format("       %s > %s%n", name, effect));
            }
        }
    }

    private Instant now() {
        return Instant.ofEpochMilli(timeMillis);
    }

    private static Change change(String operator, String id, long base, boolean out) {
        return Samples.change(operator, id, base, Samples.service(out));
    }

    private void log(Change change) {
        long offset = stream.append(change, now());
        transcript.append(String.format("%6d log %d: %s%n", timeMillis, offset, change.changeId()));
    }

    @Test
    void twoOperatorsChangeTheSameKeyConcurrently() throws IOException {
        EntryNode one = new EntryNode("entry-1");
        EntryNode two = new EntryNode("entry-2");
        one.submit(change("anita", "too-early", 0, true));
        one.tick();
        one.read();
        two.tick();
        two.read();
        conflictingChanges(one, two);
        lostAcknowledgement(one, two);
        logUnavailable(one);
        if (Boolean.getBoolean("wagtaillug.golden.write")) {
            Files.createDirectories(GOLDEN.getParent());
            Files.writeString(GOLDEN, transcript);
        }
        assertThat(transcript.toString()).isEqualToNormalizingNewlines(Files.readString(GOLDEN));
    }

    private void conflictingChanges(EntryNode one, EntryNode two) {
        timeMillis = 1_000;
        Change anita = change("anita", "out-1", 0, true);
        Change bikash = change("bikash", "back-1", 0, false);
        one.submit(anita);
        two.submit(bikash);
        log(bikash);
        log(anita);
        one.appended("out-1", 2);
        two.read();
        two.appended("back-1", 1);
        one.read();
        one.submit(change("anita", "out-2", 0, true));
        one.submit(change("anita", "out-1", 0, true));
    }

    private void lostAcknowledgement(EntryNode one, EntryNode two) {
        timeMillis = 2_000;
        Change again = change("anita", "out-3", 1, true);
        one.submit(again);
        one.submit(again);
        timeMillis = 3_000;
        one.appendFailed("out-3", true);
        one.read();
        timeMillis = 4_000;
        log(again);
        log(again);
        one.read();
        two.read();
        two.submit(again);
    }

    private void logUnavailable(EntryNode one) {
        timeMillis = 5_000;
        one.submit(change("anita", "back-2", 3, false));
        one.appendFailed("back-2", false);
        one.submit(change("anita", "back-3", 3, false));
        one.readFailed();
        one.appendFailed("back-3", true);
        timeMillis = 9_999;
        one.tick();
        one.read();
        one.tick();
        timeMillis = 10_000;
        one.read();
        one.tick();
        timeMillis = 20_000;
        one.submit(change("anita", "back-4", 3, false));
        one.appendFailed("back-4", true);
        one.readFailed();
        timeMillis = 49_999;
        one.tick();
        timeMillis = 50_000;
        one.tick();
        log(change("anita", "back-4", 3, false));
        one.read();
        one.submit(change("anita", "back-4", 3, false));
    }
}
