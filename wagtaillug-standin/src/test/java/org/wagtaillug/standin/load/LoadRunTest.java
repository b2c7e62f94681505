package org.wagtaillug.standin.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.beust.jcommander.JCommander;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.standin.TestProcess;
import org.wagtaillug.standin.http.Json;

class LoadRunTest {
    @TempDir
    private Path folder;

    private static String kind(String template, boolean stream, String more) {
        return "  - {name: " + template + "-kind, template: " + template + ", share: 1, worth: 2, stream: " + stream
                + ", deadline: 30s" + more + "}\n";
    }

    private LoadFile file(String nodes, String kinds, String more) throws IOException {
        String text = "nodes: [" + nodes + "]\nduration: 500ms\nrate: 100\ncustomers: [{name: c, share: 1}]\n" + more
                + "kinds:\n" + kinds;
        Path file = Files.writeString(folder.resolve("load.yaml"), text);
        return LoadFile.read(file).getOrElseThrow(problem -> new AssertionError(problem));
    }

    private static LoadReport run(LoadFile file) throws Exception {
        try (LoadRun run = new LoadRun(file, 1, () -> {})) {
            return run.run().getOrElseThrow(problem -> new AssertionError(problem));
        }
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Test
    void sendsWhatIsScheduledAndCountsEachOnce() throws Exception {
        try (FakeNode node = FakeNode.start(true)) {
            LoadFile file = file(
                    node.url(),
                    kind("ask", false, "") + kind("draft", true, ", max_tokens: 3"),
                    "faults: [{at: 1ms, url: \"" + node.url() + "/faults\", body: {fault: none}}]\n");
            LoadReport report = run(file);
            int scheduled = Schedule.arrivals(file, 1).size();
            GroupReport total = report.total();
            assertThat(total.offered()).isEqualTo(scheduled).isEqualTo(node.requests.size());
            assertThat(total.served()).isEqualTo(scheduled);
            assertThat(total.worthServed()).isEqualTo(2.0 * scheduled);
            GroupReport drafts = report.kinds().get("draft-kind");
            assertThat(drafts.firstTokenMillis().count()).isEqualTo(drafts.offered());
            assertThat(drafts.betweenTokensMillis().count()).isEqualTo(2 * drafts.offered());
            assertThat(report.customers().get("c").offered()).isEqualTo(scheduled);
            assertThat(report.truth().sum()).isZero();
            assertThat(report.faults()).singleElement().extracting("result").isEqualTo("200");
            assertThat(report.nodes()).containsEntry(node.url(), (long) scheduled);
        }
    }

    @Test
    void checksButDoesNotCountWhatIsSentToWarmUp() throws Exception {
        try (FakeNode node = FakeNode.start(true)) {
            LoadFile file = file(node.url(), kind("another", false, ""), "warm_up: 300ms\n");
            LoadReport report = run(file);
            assertThat(report.total().offered()).isPositive().isLessThan(node.requests.size());
            assertThat(report.truth().wrongRequest()).isEqualTo(node.requests.size());
            assertThat(report.seconds()).hasSize(1);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "refuse, false, 0, 1, refused, 201",
        "another, false, 1, 0, lost, another request's answer",
        "lose, false, 0, 0, lost, connection broken",
        "short, true, 1, 0, lost, not whole",
        "double, true, 1, 0, lost, not whole",
        "endless, true, 0, 0, lost, stream without end",
    })
    void tellsApartWhatCameOfARequest(
            String template, boolean stream, int untrue, int refused, String group, String reason) throws Exception {
        try (FakeNode node = FakeNode.start(true)) {
            LoadReport report = run(file(node.url(), kind(template, stream, ""), ""));
            GroupReport total = report.total();
            assertThat(total.served()).isZero();
            assertThat(total.refused()).isEqualTo(refused * total.offered());
            assertThat(total.lost()).isEqualTo((1 - refused) * total.offered());
            assertThat(report.truth().sum()).isEqualTo(untrue * total.offered());
            assertThat(group.equals("lost") ? total.lostByReason() : total.refusedByCode())
                    .containsOnlyKeys(reason);
        }
    }

    /**
     * Guards against a run that never ends because a node accepts a request and never answers. The request times out after
     * its deadline and is counted as lost.
     */
    @Test
    void givesUpARequestThatIsNeverAnswered() throws Exception {
        try (FakeNode node = FakeNode.start(true)) {
            GroupReport total = run(file(node.url(), kind("never", false, "").replace("30s", "1ms"), ""))
                    .total();
            assertThat(total.lostByReason()).containsOnlyKeys("no answer");
            assertThat(total.lost()).isEqualTo(total.offered());
        }
    }

    @Test
    void skipsANodeThatIsNotReadyOrGone() throws Exception {
        try (FakeNode node = FakeNode.start(true);
                FakeNode starting = FakeNode.start(false)) {
            String gone = "http://127.0.0.1:" + closedPort();
            LoadReport report = run(file(node.url() + ", " + starting.url() + ", " + gone, kind("ask", false, ""), ""));
            assertThat(report.total().served()).isEqualTo(report.total().offered());
            assertThat(report.nodes()).containsOnlyKeys(node.url());
        }
    }

    /**
     * A node dies between two probes, so the balancer still selects it. A refused connection means that nothing was sent,
     * so the request goes to the next node; in this test there is none.
     */
    @Test
    void takesOutANodeThatRefusesConnections() throws Exception {
        HttpClient probing = new HttpClient();
        HttpClient calling = new HttpClient();
        probing.start();
        calling.start();
        LoadFile file;
        Balancer balancer;
        try (FakeNode node = FakeNode.start(true)) {
            file = file(node.url(), kind("ask", false, ""), "");
            balancer = new Balancer(probing, file.nodes());
            balancer.probe();
            TestProcess.until(balancer::anyReady);
        }
        Recorder recorder = new Recorder(file, 1);
        CompletableFuture<Call> ended = new CompletableFuture<>();
        Call.Due due = new Call.Due(System.nanoTime(), 0);
        Arrival arrival = Schedule.arrivals(file, 1).get(0);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        Call.Context context = new Call.Context(calling, balancer, recorder, timer);
        new Call(context, arrival, ended::complete, due).send(System.nanoTime());
        ended.get();
        timer.shutdownNow();
        assertThat(recorder.report(Map.of()).total().lostByReason()).containsOnlyKeys("no node ready");
        probing.stop();
        calling.stop();
    }

    /**
     * A booking that runs twice under one key, and a refusal as not run of a booking that ran, are invisible to callers.
     * They must be found in the ledgers of the services.
     */
    @Test
    void findsDoubleRunsAndFalseRefusalsInTheLedgers() throws Exception {
        try (FakeNode node = FakeNode.start(true)) {
            String ledgers = "ledgers: [" + node.url() + "]\n";
            String once = ", idempotency_key: true";
            assertThat(run(file(node.url(), kind("book", false, once), ledgers))
                            .truth()
                            .sum())
                    .isZero();
            LoadReport refused = run(file(node.url(), kind("refuse", false, once), ledgers));
            assertThat(refused.truth().falseNotRun()).isEqualTo(refused.total().offered());
            node.executionsOfEachKey.set(2);
            LoadReport doubled = run(file(node.url(), kind("book", false, once), ledgers));
            assertThat(doubled.truth().doubleRuns()).isEqualTo(doubled.total().offered());
            node.executionsOfEachKey.set(0);
            LoadReport missing = run(file(node.url(), kind("book", false, once), ledgers));
            assertThat(missing.truth().servedNotRun()).isEqualTo(missing.total().offered());
            assertThat(node.keys)
                    .allSatisfy(
                            key -> assertThat(UUID.fromString(key).version()).isEqualTo(7));
        }
    }

    /**
     * A node aborts its connections or refuses with a retry delay. A caller with an idempotency key retries once at another
     * node with the same key and is served, even if it cannot know whether its booking ran. Without a key there is no retry.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void asksAnotherNodeOnceUnderTheSameKey(boolean keyed, boolean abortsConnections) throws Exception {
        try (FakeNode wrong = FakeNode.start(true);
                FakeNode right = FakeNode.start(true)) {
            wrong.abortsConnections = abortsConnections;
            wrong.refusesWithRetry = !abortsConnections;
            String kind = kind("book", false, ", idempotency_key: " + keyed);
            LoadReport report = run(file(wrong.url() + ", " + right.url(), kind, ""));
            GroupReport total = report.total();
            int missed = wrong.requests.size();
            assertThat(missed).isPositive();
            assertThat(total.served()).isEqualTo(keyed ? total.offered() : total.offered() - missed);
            assertThat(total.lost()).isEqualTo(!keyed && abortsConnections ? missed : 0);
            assertThat(total.refused()).isEqualTo(!keyed && !abortsConnections ? missed : 0);
            assertThat(report.retried()).isEqualTo(keyed ? missed : 0);
            assertThat(right.keys).hasSize(keyed ? (int) total.offered() : 0).containsAll(wrong.keys);
        }
    }

    /** Guards against a load that begins while the first probe of a node is unanswered, and avoids that node until then. */
    @Test
    void waitsForTheFirstProbeOfEachNode() throws Exception {
        try (FakeNode wrong = FakeNode.start(true);
                FakeNode right = FakeNode.start(true)) {
            wrong.abortsConnections = true;
            right.probeMillis = 300;
            String kind = kind("book", false, ", idempotency_key: true");
            GroupReport total =
                    run(file(wrong.url() + ", " + right.url(), kind, "")).total();
            assertThat(total.served()).isEqualTo(total.offered());
        }
    }

    @Test
    void asksNoThirdTime() throws Exception {
        try (FakeNode node = FakeNode.start(true)) {
            node.refusesWithRetry = true;
            LoadReport report = run(file(node.url(), kind("book", false, ", idempotency_key: true"), ""));
            assertThat(report.total().refused())
                    .isEqualTo(report.total().offered())
                    .isEqualTo(report.retried());
            assertThat(report.total().refusedByRun()).containsOnlyKeys("not-run");
            assertThat(report.notRun()).hasSize((int) report.retried());
        }
    }

    @Test
    void doesNotCountTheWarmUp() throws Exception {
        try (FakeNode node = FakeNode.start(true)) {
            LoadFile file = file(node.url(), kind("ask", false, ""), "warm_up: 300ms\n");
            GroupReport total = run(file).total();
            long counted = 0;
            for (Arrival arrival : Schedule.arrivals(file, 1)) {
                counted += arrival.atNanos() >= 300_000_000 ? 1 : 0;
            }
            assertThat(total.offered()).isEqualTo(counted).isLessThan(node.requests.size());
        }
    }

    @Test
    void theCommandWritesReportAndPlot() throws Exception {
        try (FakeNode node = FakeNode.start(true)) {
            file(node.url(), kind("ask", false, ""), "");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            Path report = folder.resolve("report.json");
            Path plot = folder.resolve("plot.png");
            String[] arguments = {
                "--file",
                folder.resolve("load.yaml").toString(),
                "--report",
                report.toString(),
                "--plot",
                plot.toString()
            };
            LoadCommand command = new LoadCommand();
            JCommander.newBuilder().addObject(command).build().parse(arguments);
            assertThat(command.run(new PrintStream(out, true), System.err)).isEqualTo(LoadCommand.End.TRUE);
            assertThat(out.toString(StandardCharsets.UTF_8)).contains("ask-kind", "errors of truth");
            assertThat(Json.mapper()
                            .readTree(Files.readAllBytes(report))
                            .path("total")
                            .path("served")
                            .asInt())
                    .isPositive();
            assertThat(Files.readAllBytes(plot)).startsWith(0x89, 'P', 'N', 'G');
        }
    }
}
