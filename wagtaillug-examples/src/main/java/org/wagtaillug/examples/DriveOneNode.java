package org.wagtaillug.examples;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Event;
import org.wagtaillug.node.Node;
import org.wagtaillug.node.NodeSetup;

/**
 * Drives a node by hand, one event at a time, without any socket: it reads an empty log, joins the roster, and says that it
 * is ready. Shows how another frame than the daemon carries a node.
 */
public final class DriveOneNode {
    private final Node node;
    private final List<LogRecord> control = new ArrayList<>();
    private final List<String> seen = new ArrayList<>();
    private Instant now = Instant.parse("2026-12-01T08:00:00Z");

    private DriveOneNode() {
        NodeId self = new NodeId(new VmId("example-node"), now.toEpochMilli());
        LogRecord.NodeAddress address = new LogRecord.NodeAddress("127.0.0.1", 9010, new DomainId("pl-a"));
        node = new Node(NodeSetup.builder(self, address).build());
    }

    /** Prints what the node wanted done in its first second. */
    public static void main(String[] arguments) {
        run().forEach(System.out::println);
    }

    static List<String> run() {
        DriveOneNode drive = new DriveOneNode();
        Instant end = drive.now.plusSeconds(1);
        while (drive.now.isBefore(end)) {
            drive.hand(new Event.Tick());
            drive.now = drive.now.plus(Node.TICK_INTERVAL);
        }
        return drive.seen;
    }

    private void hand(Event event) {
        for (Effect effect : node.handle(event, now)) {
            carryOut(effect);
        }
    }

    private void carryOut(Effect effect) {
        switch (effect) {
            case Effect.ReadLog read -> hand(new Event.LogRead(read.stream(), now, batch(read)));
            case Effect.AppendToLog append -> append(append);
            case Effect.ReadVmList ignored -> hand(new Event.VmListRead(List.of()));
            case Effect.ReadinessChanged changed ->
                seen.add("ready: " + changed.ready() + " (" + changed.reason() + ")");
            default -> seen.add(effect.getClass().getSimpleName());
        }
    }

    private LogBatch batch(Effect.ReadLog read) {
        List<LogBatch.Entry> entries = new ArrayList<>();
        long end = read.stream() == LogStream.CONTROL ? control.size() + 1 : 1;
        for (long offset = read.from(); offset < end; offset++) {
            entries.add(new LogBatch.Entry(offset, now, control.get((int) offset - 1)));
        }
        return new LogBatch(read.from(), 1, end, entries);
    }

    private void append(Effect.AppendToLog append) {
        seen.add("append: " + append.record());
        control.add(append.record());
        hand(new Event.LogAppended(append.append(), control.size()));
    }
}
