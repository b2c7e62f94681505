package org.wagtaillug.tool;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the command {@code account}, from log files to its output. */
class AccountTest {
    private static final String ACCEPT =
            "\"decision\":\"accept\",\"request\":\"%s\",\"route\":\"chat\",\"content\":\"%s\"";
    private static final String SERVED =
            "\"decision\":\"finish\",\"request\":\"r\",\"route\":\"chat\",\"outcome\":\"PASSED\","
                    + "\"content\":\"c\",\"aim_ms\":\"800\",\"total_ms\":\"%d\",\"send_ms\":\"%d\",\"first_event_ms\":\"%d\"";
    private static final String REFUSED = "\"decision\":\"finish\",\"request\":\"r\",\"route\":\"chat\","
            + "\"outcome\":\"REFUSED\",\"how\":\"refused STEP_OVERLOADED: step 2\",\"content\":\"%s\",\"total_ms\":\"900\","
            + "\"slowest_ms\":\"300\"";
    private static final String CALL =
            "\"decision\":\"piece_call\",\"call\":\"1\",\"upstream\":\"i-1\",\"pool\":\"encode\","
                    + "\"pieces\":\"%d\",\"most\":\"6\",\"still_waiting\":\"%d\",\"longest_wait_ms\":\"40\",\"room_bytes\":\"25\","
                    + "\"room_of\":\"100\"";

    @TempDir
    Path directory;

    private Path log;

    @BeforeEach
    void createLog() throws IOException {
        log = Files.createFile(directory.resolve("node.log"));
    }

    private static String line(int second, String fields) {
        return String.format(
                "{\"time\":\"2026-01-01T00:00:%02dZ\",\"at\":\"2026-01-01T00:00:%02dZ\",%s}%n", second, second, fields);
    }

    private void write(String... lines) throws IOException {
        Files.writeString(log, Files.readString(log) + String.join("", lines));
    }

    private JsonNode account(Path... files) throws IOException {
        String[] arguments = new String[files.length + 3];
        arguments[0] = "account";
        for (int index = 0; index < files.length; index++) {
            arguments[index + 1] = files[index].toString();
        }
        arguments[files.length + 1] = "--output";
        arguments[files.length + 2] = "json";
        ToolRun run = ToolRun.of(arguments);
        assertThat(run.exitCode()).isZero();
        return new ObjectMapper().readTree(run.output());
    }

    @Test
    void reportsWhereRequestsSpentTheirTime() throws IOException {
        write(
                line(0, String.format(ACCEPT, "a", "a")),
                line(0, String.format(ACCEPT, "b", "b")),
                line(1, String.format(SERVED, 900, 300, 500)),
                line(3, String.format(SERVED, 1900, 1200, 1500)));
        JsonNode route = account(log).path("routes").path(0);
        assertThat(route.path("asked").asInt()).isEqualTo(2);
        assertThat(route.path("in_time").asInt()).isEqualTo(1);
        assertThat(route.path("late").asInt()).isEqualTo(1);
        assertThat(route.path("late_by_steps").asInt()).isEqualTo(1);
        assertThat(route.path("send_p50").asInt()).isBetween(298, 302);
        assertThat(account(log).path("spans")).hasSize(2);
    }

    @Test
    void reportsHowLongRefusedRequestsHadWaitedAndWhetherTheyReturned() throws IOException {
        write(
                line(0, String.format(ACCEPT, "a", "same")),
                line(1, String.format(REFUSED, "same")),
                line(1, String.format(REFUSED, "other")),
                line(2, String.format(ACCEPT, "b", "same")));
        JsonNode refusal = account(log).path("refusals").path(0);
        assertThat(refusal.path("reason").asText()).isEqualTo("STEP_OVERLOADED");
        assertThat(refusal.path("refused").asInt()).isEqualTo(2);
        assertThat(refusal.path("after_a_step").asInt()).isEqualTo(2);
        assertThat(refusal.path("came_back").asInt()).isEqualTo(1);
    }

    @Test
    void reportsTheBatchSizesOfCalls() throws IOException {
        write(
                line(0, String.format(CALL, 6, 0)),
                line(0, String.format(CALL, 2, 9)),
                line(0, "\"decision\":\"piece_not_made\",\"upstream\":\"i-1\",\"answer\":\"NoRoom\""));
        JsonNode pool = account(log).path("pools").path(0);
        assertThat(pool.path("pool").asText()).isEqualTo("encode");
        assertThat(pool.path("calls").asInt()).isEqualTo(2);
        assertThat(pool.path("pieces").asDouble()).isEqualTo(4);
        assertThat(pool.path("held_back").asInt()).isEqualTo(1);
        assertThat(pool.path("room_left_percent").asDouble()).isEqualTo(25);
        assertThat(pool.path("not_made").asText()).isEqualTo("{NoRoom=1}");
    }

    @Test
    void toleratesMalformedLinesOtherLinesAndAnyOrder() throws IOException {
        // A file from a log collector: the node's name precedes each line, lines of other programs are mixed in,
        // the end of a request precedes its start, and the last line is truncated.
        write(
                "node-1 " + line(2, String.format(SERVED, 900, 300, 500)),
                "node-1 " + line(1, String.format(ACCEPT, "a", "a")),
                "Started a service.\n",
                "{\"time\":\"2026-01-01T00:00:01Z\",\"message\":\"node listens\"}\n",
                "{\"decision\":\"accept\",\"at\":\"yesterday\"}\n",
                "{\"decision\":\"acc");
        JsonNode account = account(log);
        assertThat(account.path("lines").asInt()).isEqualTo(6);
        assertThat(account.path("decisions").asInt()).isEqualTo(2);
        assertThat(account.path("other_lines").asInt()).isEqualTo(3);
        assertThat(account.path("broken_lines").asInt()).isEqualTo(1);
        assertThat(account.path("routes").path(0).path("in_time").asInt()).isEqualTo(1);
    }

    @Test
    void aFieldThatAnOlderVersionDidNotWriteIsOmitted() throws IOException {
        write(line(1, "\"decision\":\"finish\",\"request\":\"r\",\"outcome\":\"PASSED\",\"total_ms\":\"many\""));
        JsonNode route = account(log).path("routes").path(0);
        assertThat(route.path("route").asText()).isEqualTo("none");
        assertThat(route.path("in_time").asInt()).isEqualTo(1);
        assertThat(route.has("total_p50")).isFalse();
    }

    @Test
    void reportsAFileWithoutDecisions() throws IOException {
        byte[] garbage = new byte[300_000];
        new Random(7).nextBytes(garbage);
        Path binary = Files.write(directory.resolve("core.bin"), garbage);
        write(line(0, String.format(ACCEPT, "a", "a")));
        ToolRun run = ToolRun.of("account", log.toString(), binary.toString());
        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.errors()).contains("core.bin: found no decision; expected the JSON lines of a node's log");
    }

    @Test
    void reportsAnUnreadableFile() {
        ToolRun run = ToolRun.of("account", directory.resolve("missing.log").toString());
        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.errors()).contains("missing.log: cannot be read").contains("expected a log file of a node");
    }

    @Test
    void aLineWithoutEndDoesNotExhaustTheMemory() throws IOException {
        // An operator passes a large binary file by mistake, such as a disk image of a gigabyte: it has hardly any line
        // breaks and no decision.
        Path large = directory.resolve("image.bin");
        byte[] block = new byte[1 << 20];
        java.util.Arrays.fill(block, (byte) '{');
        try (OutputStream out = Files.newOutputStream(large)) {
            for (int index = 0; index < 64; index++) {
                out.write(block);
            }
            out.write(("\n" + line(0, String.format(ACCEPT, "a", "a"))).getBytes());
        }
        JsonNode account = account(large);
        assertThat(account.path("other_lines").asInt()).isEqualTo(1);
        assertThat(account.path("decisions").asInt()).isEqualTo(1);
    }

    @Test
    void namesBeyondTheLimitAreCountedAndLeftOut() throws IOException {
        StringBuilder lines = new StringBuilder();
        for (int index = 0; index < 3000; index++) {
            lines.append(line(0, "\"decision\":\"accept\",\"request\":\"r\",\"route\":\"route-" + index + "\""));
        }
        write(lines.toString());
        JsonNode account = account(log);
        assertThat(account.path("routes")).hasSize(1000);
        assertThat(account.path("left_out").asInt()).isEqualTo(2000);
    }

    @Test
    void printsTablesInTextForm() throws IOException {
        write(line(0, String.format(ACCEPT, "a", "a")), line(0, String.format(CALL, 6, 0)));
        ToolRun run = ToolRun.of("account", log.toString());
        assertThat(run.exitCode()).isZero();
        assertThat(run.output())
                .startsWith("lines 2, decisions 2")
                .contains("routes\nroute")
                .contains("pools\npool");
    }
}
