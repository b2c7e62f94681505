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
 * Drives a node event by event, without any network connection: the node reads an empty log, joins the roster and becomes
 * ready. Shows how a program other than the daemon can embed a node.
 */
public final class DriveOneNode {
    private final Node node;
    private final List<LogRecord> controlStream = new ArrayList<>();
    private final List<String> output = new ArrayList<>();
    private Instant now = Instant.parse("2026-12-01T08:00:00Z");

    private DriveOneNode() {
        NodeId self = new NodeId(new VmId("example-node"), now.toEpochMilli());
        LogRecord.NodeAddress address = new LogRecord.NodeAddress("127.0.0.1", 9010, new DomainId("pl-a"));
        node = new Node(NodeSetup.builder(self, address).build());
    }

    /** Prints the effects that the node requested in its first second. */
    public static void main(String[] arguments) {
        run().forEach(System.out::println);
    }

    static List<String> run() {
        DriveOneNode driver = new DriveOneNode();
        Instant end = driver.now.plusSeconds(1);
        while (driver.now.isBefore(end)) {
            driver.deliver(new Event.Tick());
            driver.now = driver.now.plus(Node.TICK_INTERVAL);
        }
        return driver.output;
    }

    private void deliver(Event event) {
        for (Effect effect : node.handle(event, now)) {
            execute(effect);
        }
    }

    private void execute(Effect effect) {
        switch (effect) {
            case Effect.ReadLog read -> deliver(new Event.LogRead(read.stream(), now, batch(read)));
            case Effect.AppendToLog append -> append(append);
            case Effect.ReadVmList ignored -> deliver(new Event.VmListRead(List.of()));
            case Effect.ReadinessChanged changed ->
                output.add("ready: " + changed.ready() + " (" + changed.reason() + ")");
            default -> output.add(effect.getClass().getSimpleName());
        }
    }

    private LogBatch batch(Effect.ReadLog read) {
        List<LogBatch.Entry> entries = new ArrayList<>();
        long end = read.stream() == LogStream.CONTROL ? controlStream.size() + 1 : 1;
        for (long offset = read.from(); offset < end; offset++) {
            entries.add(new LogBatch.Entry(offset, now, controlStream.get((int) offset - 1)));
        }
        return new LogBatch(read.from(), 1, end, entries);
    }

    private void append(Effect.AppendToLog append) {
        output.add("append: " + append.record());
        controlStream.add(append.record());
        deliver(new Event.LogAppended(append.append(), controlStream.size()));
    }
}
