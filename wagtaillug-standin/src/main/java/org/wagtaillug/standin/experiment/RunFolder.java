package org.wagtaillug.standin.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.load.LoadReport;
import org.wagtaillug.standin.upstream.Counters;

/**
 * The content of the folder of a run.
 *
 * @param facts the parameters of the run
 * @param load the load report
 * @param startedAt when sending started, in Unix milliseconds
 * @param first the metrics of the nodes at the end of the warm-up
 * @param last the metrics of the nodes at the end
 * @param counters the counters of the upstreams, by name of the reading and of the upstream
 * @param actions the actions executed by the script
 * @param domainOutAt when the log service accepted the change that took a failure domain out of service, in Unix
 *     milliseconds; empty if there was none
 * @param digests the configuration digests of the nodes at the end
 */
record RunFolder(
        RunFacts facts,
        LoadReport load,
        long startedAt,
        Reading first,
        Reading last,
        Map<String, Map<String, Counters>> counters,
        List<ExecutedAction> actions,
        OptionalLong domainOutAt,
        List<String> digests) {
    private static final String COUNTERS = "counters-";

    /**
     * The metrics of all nodes that answered.
     *
     * @param atMillis the time of the reading, in Unix milliseconds
     */
    record Reading(long atMillis, Map<String, MetricsText> nodes) {}

    /** An action executed by the script, with its start and end in Unix milliseconds. */
    record ExecutedAction(long begunAt, long endedAt, int exitCode, String words) {}

    /**
     * Reads the folder of a run.
     *
     * @return its content, or an error message that names a missing or invalid file
     */
    static Either<String, RunFolder> read(Path folder) {
        try {
            Either<String, RunFacts> facts = json(folder.resolve(RunFacts.FILE), RunFacts.class);
            Either<String, LoadReport> load = json(folder.resolve("load.json"), LoadReport.class);
            if (facts.isLeft() || load.isLeft()) {
                return Either.left(facts.isLeft() ? facts.getLeft() : load.getLeft());
            }
            Map<String, Map<String, Counters>> counters = new TreeMap<>();
            try (var folders = Files.newDirectoryStream(folder, COUNTERS + "*")) {
                for (Path one : folders) {
                    counters.put(one.getFileName().toString().substring(COUNTERS.length()), counters(one));
                }
            }
            return Either.right(new RunFolder(
                    facts.get(),
                    load.get(),
                    Long.parseLong(Files.readString(folder.resolve("started")).strip()),
                    reading(folder.resolve("metrics-start")),
                    reading(folder.resolve("metrics-end")),
                    counters,
                    actions(folder.resolve("actions.log")),
                    recordTime(folder.resolve("domain-out.json")),
                    Files.readAllLines(folder.resolve("digests.txt"))));
        } catch (IOException unreadable) {
            return Either.left(folder + ": incomplete run, cannot read " + unreadable.getMessage());
        } catch (NumberFormatException malformed) {
            return Either.left(folder + ": expected a time in milliseconds: " + malformed.getMessage());
        }
    }

    static <T> Either<String, T> json(Path file, Class<T> type) throws IOException {
        return Json.read(Files.readAllBytes(file), type).mapLeft(problem -> file + ": " + problem);
    }

    private static Reading reading(Path folder) throws IOException {
        Map<String, MetricsText> nodes = new TreeMap<>();
        try (var files = Files.newDirectoryStream(folder, "*.txt")) {
            for (Path file : files) {
                String node = file.getFileName().toString().replace(".txt", "");
                nodes.put(node, MetricsText.parse(Files.readString(file)));
            }
        }
        long at = Long.parseLong(Files.readString(folder.resolve("time")).strip());
        return new Reading(at, nodes);
    }

    /** Reads the counters of all upstreams. Omits upstreams that were restarting, as they answer with an error. */
    private static Map<String, Counters> counters(Path folder) throws IOException {
        Map<String, Counters> counters = new TreeMap<>();
        try (var files = Files.newDirectoryStream(folder, "*.json")) {
            for (Path file : files) {
                Either<String, JsonNode> read = json(file, JsonNode.class);
                if (read.isRight() && read.get().has("executed")) {
                    String upstream = file.getFileName().toString().replace(".json", "");
                    counters.put(upstream, Json.mapper().treeToValue(read.get(), Counters.class));
                }
            }
        }
        return counters;
    }

    private static OptionalLong recordTime(Path file) throws IOException {
        if (!Files.exists(file)) {
            return OptionalLong.empty();
        }
        JsonNode time = Json.mapper()
                .readTree(Files.readAllBytes(file))
                .path("records")
                .path(0)
                .path("time");
        return time.isIntegralNumber() ? OptionalLong.of(time.asLong()) : OptionalLong.empty();
    }

    private static List<ExecutedAction> actions(Path file) throws IOException {
        List<ExecutedAction> actions = new ArrayList<>();
        if (!Files.exists(file)) {
            return actions;
        }
        for (String line : Files.readAllLines(file)) {
            String[] parts = line.split(" ", 4);
            actions.add(new ExecutedAction(
                    Long.parseLong(parts[0]), Long.parseLong(parts[1]), Integer.parseInt(parts[2]), parts[3]));
        }
        return actions;
    }
}
