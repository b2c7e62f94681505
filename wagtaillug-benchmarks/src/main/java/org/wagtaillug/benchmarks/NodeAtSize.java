package org.wagtaillug.benchmarks;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.contract.Template;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.dispatch.Request;
import org.wagtaillug.grant.GrantHolder;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.LogRecordCodec;
import org.wagtaillug.link.PeerMessageCodec;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Event;
import org.wagtaillug.node.Node;
import org.wagtaillug.node.NodeSetup;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;

/**
 * Measures the control cost of one node in a fleet of a given size: CPU time, heap and bytes per second, at a given request
 * rate.
 *
 * <p>Drives a single node. The messages of the platform and of the other nodes are simulated at their real rates. Time is
 * simulated in ticks, so a minute of simulated time takes as long as the node needs to process it.
 *
 * <pre>{@code ./benchmark size 340 740 390 24}</pre>
 */
public final class NodeAtSize {
    private static final Instant START = Instant.parse("2026-12-01T00:00:00Z");
    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration ASK_PERIOD = Duration.ofMillis(500);
    private static final int WARM_UP_SECONDS = 30;
    private static final int MEASURED_SECONDS = 60;
    private static final int MAX_ALLOWANCE = 10;
    private static final Duration PROGRESS_PERIOD = Duration.ofMillis(200);
    private static final Duration STAGE_DURATION = Duration.ofMillis(20);
    private static final Duration GENERATE_DURATION = Duration.ofSeconds(2);
    private static final int DOMAINS = 5;
    private static final double MIB = 1024.0 * 1024.0;
    /** The pools and their share of all upstreams, in percent. */
    private static final Map<String, Integer> POOLS = Map.of(
            "generate",
            60,
            "encode",
            8,
            "retrieve",
            8,
            "rerank",
            8,
            "orders",
            4,
            "bookings",
            4,
            "billing",
            4,
            "notices",
            4);

    private final int nodes;
    private final int customers;
    private final int rate;
    private final List<Vm> vms = new ArrayList<>();
    private final List<NodeId> peers = new ArrayList<>();
    private final NodeId self = new NodeId(new VmId("node-0"), 1);
    private final PeerMessageCodec messages = new PeerMessageCodec();
    private final LogRecordCodec records = new LogRecordCodec();
    private final List<LogRecord> control = new ArrayList<>();
    private final Deque<Event> due = new ArrayDeque<>();
    private final Map<NodeId, Long> grantRequests = new HashMap<>();
    private final Node node;
    private Instant now = START;
    private long bytesOut;
    private long bytesIn;
    private long messagesOut;
    private long messagesIn;
    private long owned;
    private final Map<ResultCode, Integer> refusals = new TreeMap<>();
    private long served;
    private long requests;
    private Instant nextProgress = START;
    private final PriorityQueue<Ending> endings = new PriorityQueue<>();

    /** The scheduled end of an attempt. */
    private record Ending(Instant at, long order, AttemptId attempt) implements Comparable<Ending> {
        @Override
        public int compareTo(Ending other) {
            int byTime = at.compareTo(other.at);
            return byTime == 0 ? Long.compare(order, other.order) : byTime;
        }
    }

    private NodeAtSize(int nodes, int upstreams, int customers, int rate) {
        this.nodes = nodes;
        this.rate = rate;
        this.customers = customers;
        for (Map.Entry<String, Integer> pool : POOLS.entrySet()) {
            int size = Math.max(1, upstreams * pool.getValue() / 100);
            for (int number = 0; number < size; number++) {
                vms.add(Fleet.vm(pool.getKey(), number));
            }
        }
        for (int number = 1; number < nodes; number++) {
            peers.add(new NodeId(new VmId("node-" + number), 1));
        }
        node = new Node(NodeSetup.builder(self, address(0)).build());
    }

    /** Measures one size, given as nodes, upstreams, customers and requests per second at this node. */
    public static void main(String[] arguments) {
        int[] sizes = new int[arguments.length];
        for (int index = 0; index < sizes.length; index++) {
            sizes[index] = Integer.parseInt(arguments[index]);
        }
        System.out.println(
                "nodes upstreams customers req/s served owned core%  heapMiB  out-B/s  in-B/s  msg-out/s msg-in/s");
        new NodeAtSize(sizes[0], sizes[1], sizes[2], sizes[3]).run();
    }

    private static LogRecord.NodeAddress address(int number) {
        return new LogRecord.NodeAddress("127.0.0.1", 1 + number, new DomainId("domain-" + number % DOMAINS));
    }

    private void run() {
        long before = heap();
        populate();
        simulate(WARM_UP_SECONDS);
        served = 0;
        refusals.clear();
        long bytesOutBefore = bytesOut;
        long bytesInBefore = bytesIn;
        long messagesOutBefore = messagesOut;
        long messagesInBefore = messagesIn;
        long cpu = simulate(MEASURED_SECONDS);
        double heapMib = (heap() - before) / MIB;
        System.out.println(String.format(
                Locale.ROOT,
                "%5d %9d %9d %5d %6d %5d %5.2f %8.2f %8d %7d %9.1f %8.1f",
                nodes,
                vms.size(),
                customers,
                rate,
                served / MEASURED_SECONDS,
                owned,
                100.0 * cpu / (MEASURED_SECONDS * 1e9),
                heapMib,
                (bytesOut - bytesOutBefore) / MEASURED_SECONDS,
                (bytesIn - bytesInBefore) / MEASURED_SECONDS,
                (messagesOut - messagesOutBefore) / (double) MEASURED_SECONDS,
                (messagesIn - messagesInBefore) / (double) MEASURED_SECONDS));
        if (!refusals.isEmpty()) {
            System.out.println("refused: " + refusals);
        }
    }

    private static long heap() {
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private void populate() {
        for (int number = 1; number < nodes; number++) {
            NodeId peer = peers.get(number - 1);
            control.add(new LogRecord.RosterChange(
                    LogRecord.RosterChangeKind.JOIN, peer, peer, Optional.of(address(number))));
        }
        for (int number = 0; number < customers; number++) {
            CustomerContract body = new CustomerContract(new CustomerId("customer-" + number), 1, Map.of());
            control.add(new LogRecord.Change(body.key(), 0, body, new OperatorId("desk"), "change-" + number));
        }
        Template draft = Template.builder("draft")
                .stage(Stage.builder("encode").build())
                .stage(Stage.builder("retrieve").build())
                .stage(Stage.builder("rerank").build())
                .stage(Stage.builder("generate").work(StageWork.GENERATE).build())
                .build();
        control.add(new LogRecord.Change(draft.key(), 0, draft, new OperatorId("desk"), "draft"));
        for (String pool : POOLS.keySet()) {
            PoolContract body = PoolContract.unspecified(new PoolId(pool));
            control.add(new LogRecord.Change(body.key(), 0, body, new OperatorId("desk"), "pool-" + pool));
        }
    }

    /** Simulates a number of seconds; returns the CPU time spent in the node, in nanoseconds. */
    private long simulate(int seconds) {
        long spent = 0;
        Instant end = now.plusSeconds(seconds);
        Instant nextAsksAt = now;
        while (now.isBefore(end)) {
            now = now.plus(TICK);
            if (!now.isBefore(nextAsksAt)) {
                nextAsksAt = nextAsksAt.plus(ASK_PERIOD);
                receivePeerMessages();
            }
            addDueEvents();
            due.addLast(new Event.Tick());
            while (!due.isEmpty()) {
                Event event = due.removeFirst();
                long startedAt = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
                List<Effect> effects = node.handle(event, now);
                spent += ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startedAt;
                effects.forEach(this::apply);
            }
        }
        return spent;
    }

    /** Adds the events that are due: evenly spaced requests, and the progress and end of attempts. */
    private void addDueEvents() {
        long expected = Duration.between(START, now).toMillis() * rate / 1000;
        while (requests < expected) {
            requests++;
            CustomerId customer = new CustomerId("customer-" + requests % customers);
            RequestId id = new RequestId("request-" + requests);
            due.addLast(new Event.RequestArrived(
                    Request.builder(id, customer, new TemplateId("draft")).build()));
        }
        if (!now.isBefore(nextProgress)) {
            nextProgress = now.plus(PROGRESS_PERIOD);
            endings.forEach(ending -> due.addLast(new Event.AttemptProgressed(ending.attempt())));
        }
        while (!endings.isEmpty() && !endings.peek().at().isAfter(now)) {
            AttemptId attempt = endings.poll().attempt();
            due.addLast(new Event.AttemptEnded(attempt, new AttemptEnd.Completed(Payload.EMPTY)));
        }
    }

    private void start(Attempt attempt) {
        Duration duration = attempt.stage().work() == StageWork.GENERATE ? GENERATE_DURATION : STAGE_DURATION;
        endings.add(new Ending(now.plus(duration), endings.size(), attempt.id()));
    }

    /**
     * Sends the grant requests and probes of the other nodes. Every holder that uses an upstream of this node requests
     * grants for it; each holder uses a limited part of each pool.
     */
    private void receivePeerMessages() {
        owned = 0;
        Map<NodeId, List<PeerMessage.GrantDemand>> demands = new HashMap<>();
        Map<PoolId, Integer> sizes = new HashMap<>();
        vms.forEach(vm -> sizes.merge(vm.pool().orElseThrow(), 1, Integer::sum));
        for (Vm vm : vms) {
            if (!node.members().ownerOf(vm).equals(Optional.of(self))) {
                continue;
            }
            owned++;
            int size = sizes.get(vm.pool().orElseThrow());
            int holders = Math.min(peers.size(), peers.size() * GrantHolder.MAX_FAN_OUT / size);
            int first = Math.floorMod(vm.id().hashCode(), Math.max(1, peers.size()));
            for (int index = 0; index < holders; index++) {
                NodeId holder = peers.get((first + index) % peers.size());
                demands.computeIfAbsent(holder, ignored -> new ArrayList<>())
                        .add(new PeerMessage.GrantDemand(vm.id(), 1, 0, 10, false, Optional.of(START)));
            }
        }
        for (Map.Entry<NodeId, List<PeerMessage.GrantDemand>> each : demands.entrySet()) {
            long sequence = grantRequests.merge(each.getKey(), 1L, Long::sum);
            receive(each.getKey(), new PeerMessage.GrantRequest(sequence, sequence - 1, each.getValue()));
        }
        for (NodeId prober : probers()) {
            receive(prober, new PeerMessage.Probe(grantRequests.getOrDefault(prober, 0L), position()));
        }
    }

    private List<NodeId> probers() {
        return peers.subList(0, Math.min(8, peers.size()));
    }

    private PeerMessage.Position position() {
        return new PeerMessage.Position(node.state().through(), node.state().digest());
    }

    private void receive(NodeId sender, PeerMessage message) {
        bytesIn += messages.encode(new PeerMessageCodec.Envelope(sender, self.vm(), message)).length;
        messagesIn++;
        due.addLast(new Event.PeerMessageReceived(sender, message));
    }

    private void apply(Effect effect) {
        switch (effect) {
            case Effect.ReadLog read -> due.addLast(read(read));
            case Effect.AppendToLog append -> append(append);
            case Effect.ReadVmList ignored -> due.addLast(new Event.VmListRead(vms));
            case Effect.RequestLoad request -> due.addLast(new Event.LoadReported(request.upstream(), report()));
            case Effect.SendToPeer send -> send(send);
            case Effect.StartAttempt start -> start(start.attempt());
            case Effect.AnswerServed ignored -> served++;
            case Effect.AnswerRefused refused ->
                refusals.merge(refused.refusal().code(), 1, Integer::sum);
            default -> {
                // Other effects cost I/O, which is not part of the control cost.
            }
        }
    }

    private LoadReport report() {
        return new LoadReport(START, now, 1, 0, 8, Optional.empty(), 0, 0);
    }

    private Event read(Effect.ReadLog read) {
        List<LogBatch.Entry> entries = new ArrayList<>();
        long end = read.stream() == LogStream.CONTROL ? control.size() + 1 : 1;
        for (long offset = read.from(); offset < end; offset++) {
            LogRecord record = control.get((int) offset - 1);
            bytesIn += records.encode(record).length;
            entries.add(new LogBatch.Entry(offset, now, record));
        }
        return new Event.LogRead(read.stream(), now, new LogBatch(read.from(), 1, end, entries));
    }

    private void append(Effect.AppendToLog append) {
        if (append.stream() == LogStream.CONTROL) {
            control.add(append.record());
            due.addLast(new Event.LogAppended(append.append(), control.size()));
        }
    }

    private void send(Effect.SendToPeer send) {
        bytesOut += messages.encode(new PeerMessageCodec.Envelope(self, send.receiver(), send.message())).length;
        messagesOut++;
        NodeId peer = new NodeId(send.receiver(), 1);
        switch (send.message()) {
            case PeerMessage.Probe probe ->
                receive(
                        peer,
                        new PeerMessage.ProbeReply(
                                probe.sequence(), position(), Optional.of(Duration.ofMillis(200)), true, true));
            case PeerMessage.GrantRequest request -> receive(peer, reply(request));
            default -> {
                // Answers to simulated messages.
            }
        }
    }

    private PeerMessage.GrantReply reply(PeerMessage.GrantRequest request) {
        List<PeerMessage.GrantOffer> offers = new ArrayList<>();
        for (PeerMessage.GrantDemand demand : request.demands()) {
            offers.add(new PeerMessage.GrantOffer(
                    demand.upstream(),
                    Math.min(MAX_ALLOWANCE, demand.wanted()),
                    Duration.ofSeconds(2),
                    false,
                    Optional.of(report())));
        }
        return new PeerMessage.GrantReply(request.sequence(), offers);
    }
}
