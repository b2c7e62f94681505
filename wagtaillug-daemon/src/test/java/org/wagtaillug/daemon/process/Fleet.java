package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.wagtaillug.contract.Body;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.settings.Contracts;

/**
 * The stand-ins and three nodes in three failure domains, with the templates {@code draft} (encode, rerank, generate)
 * and {@code booking} (one call that must be executed once) in force on all nodes.
 */
final class Fleet implements AutoCloseable {
    /** Sufficient on a slow machine: no test here is about a deadline. */
    static final long DEADLINE_MILLIS = 60_000;

    private static final String CONTRACTS = """
            kind: template
            id: draft
            deadline: 60s
            stages:
              - { id: encode }
              - { id: rerank }
              - { id: generate, work: generate, model: menu-7b }
            ---
            kind: template
            id: booking
            deadline: 60s
            idempotent: false
            stages:
              - { id: book, work: call, pool: bookings, timeout: 60s }
            ---
            kind: customer
            id: office
            ---
            kind: pool
            id: encode
            ---
            kind: pool
            id: rerank
            ---
            kind: pool
            id: generate
            ---
            kind: pool
            id: bookings
            warm_limit: 16
            """;

    private final Path directory;
    private final String additionalSettings;
    private final Http http;
    private final StandIns standIns;
    private final List<NodeProcess> nodes = new ArrayList<>();

    private Fleet(Path directory, String additionalSettings, Http http, StandIns standIns) {
        this.directory = directory;
        this.additionalSettings = additionalSettings;
        this.http = http;
        this.standIns = standIns;
    }

    static Fleet start(Path directory) throws Exception {
        return start(directory, "");
    }

    /** Starts nodes with additional settings. */
    static Fleet start(Path directory, String additionalSettings) throws Exception {
        Http http = new Http();
        Fleet fleet = new Fleet(directory, additionalSettings, http, StandIns.start(directory, http));
        try {
            fleet.startNodes();
            fleet.publish(CONTRACTS);
        } catch (Throwable fault) {
            fleet.close();
            throw fault;
        }
        return fleet;
    }

    private void startNodes() throws IOException {
        FreePorts freePorts = new FreePorts();
        for (int index = 0; index < StandIns.DOMAINS.size(); index++) {
            String vm = "node-" + (index + 1);
            NodeProcess.Ports ports =
                    new NodeProcess.Ports(freePorts.allocate(), freePorts.allocate(), freePorts.allocate());
            nodes.add(
                    new NodeProcess(vm, ports, directory.resolve(vm + ".yaml"), directory.resolve(vm + ".log"), http));
        }
        for (int index = 0; index < nodes.size(); index++) {
            Files.writeString(directory.resolve(nodes.get(index).vm() + ".yaml"), settings(index));
            nodes.get(index).start();
        }
        for (NodeProcess node : nodes) {
            node.awaitReady();
        }
        for (NodeProcess node : nodes) {
            Waiting.until(node.vm() + " lists all nodes", () -> nodes.stream().allMatch(one -> node.lists(one.vm())));
        }
    }

    private String settings(int index) {
        NodeProcess node = nodes.get(index);
        StringBuilder text = new StringBuilder(additionalSettings
                + """
                node: { vm: %s, domain: %s, region: test }
                callers: { address: 127.0.0.1, port: %d }
                administration:
                  address: 127.0.0.1
                  port: %d
                  tokens: [{ token: %s, role: operator, operator: tests }]
                link: { address: 127.0.0.1, port: %d }
                platform:
                  log: http://127.0.0.1:%d
                  vms: http://127.0.0.1:%d
                  weights: http://127.0.0.1:%d
                seeds:
                """.formatted(
                                node.vm(),
                                StandIns.DOMAINS.get(index),
                                node.ports().callers(),
                                node.ports().administration(),
                                NodeProcess.TOKEN,
                                node.ports().link(),
                                standIns.port("log"),
                                standIns.port("vms"),
                                standIns.port("weights")));
        for (int other = 0; other < nodes.size(); other++) {
            if (other != index) {
                text.append("  - { vm: %s, address: 127.0.0.1, port: %d, domain: %s }\n"
                        .formatted(
                                nodes.get(other).vm(), nodes.get(other).ports().link(), StandIns.DOMAINS.get(other)));
            }
        }
        return text.toString();
    }

    /** Publishes contracts and waits until they are in force on all nodes. */
    void publish(String contracts) {
        long newest = 0;
        for (Body body : Contracts.parse(contracts, "contracts.yaml").get()) {
            Answer answer = node(1).change(
                            body.key(),
                            0,
                            Json.read(Contracts.toJson(body)).get(),
                            UUID.randomUUID().toString());
            assertThat(answer.status()).as(body.key() + ": " + answer).isEqualTo(200);
            newest = answer.json().path("version").asLong();
        }
        awaitInForce(newest, nodes);
    }

    /** Waits until each of the nodes reports that a version is in force on all nodes. */
    void awaitInForce(long version, List<NodeProcess> asked) {
        for (NodeProcess node : asked) {
            Waiting.until(
                    "version " + version + " is in force, as " + node.vm() + " sees it",
                    () -> node.admin("changes/" + version).path("in_force").asBoolean());
        }
    }

    StandIns standIns() {
        return standIns;
    }

    List<NodeProcess> nodes() {
        return List.copyOf(nodes);
    }

    /** A node by its number, from 1. */
    NodeProcess node(int number) {
        return nodes.get(number - 1);
    }

    /** Runs the command-line tool against the first node and returns its output; fails unless its exit code is 0. */
    String runTool(String... arguments) throws Exception {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of(
                "--node", "http://127.0.0.1:" + node(1).ports().administration(), "--token", NodeProcess.TOKEN));
        Path output = Files.createTempFile(directory, "tool", ".log");
        JavaProcess tool = JavaProcess.start(org.wagtaillug.tool.Main.class, output, all.toArray(new String[0]));
        assertThat(tool.exitCode()).as(all + ": " + tool.output()).isZero();
        return tool.output();
    }

    /** A new idempotency key: a UUID of version 7. */
    static String newKey() {
        UUID random = UUID.randomUUID();
        long timed = (Instant.now().toEpochMilli() << 16) | 0x7000 | (random.getMostSignificantBits() & 0xfff);
        return new UUID(timed, random.getLeastSignificantBits()).toString();
    }

    @Override
    public void close() {
        for (NodeProcess node : nodes) {
            if (node.process() != null) {
                node.process().destroy();
            }
        }
        standIns.destroy();
        http.close();
    }
}
