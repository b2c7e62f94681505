package org.wagtaillug.standin.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.Hashing;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.StageOptions;

/** A stage pool server that encodes, retrieves or reranks. The output depends on the input only, so all servers agree. */
public final class StageServer extends Upstream<StageServer.StageJob> {
    private static final int VECTOR_LENGTH = 8;
    private static final int DOCUMENT_COUNT = 5;
    private static final int CORPUS_SIZE = 1_000;

    /** A call in progress on a stage server. */
    static final class StageJob extends Job {
        private final WorkCall call;

        StageJob(Exchange exchange, WorkCall call) {
            super(exchange, call.ids());
            this.call = call;
        }
    }

    private record Document(String document, String text, double score) {}

    private final StageOptions options;
    private final WorkTime workTime;

    /** Creates a stage server that executes the stage in its options. */
    public StageServer(String name, StageOptions options, Timers timers) {
        super(name, options, timers);
        this.options = options;
        this.workTime = new WorkTime(options.workMillis(), options.seed());
    }

    @Override
    public String kind() {
        return "stage";
    }

    @Override
    void handleWork(Exchange exchange) {
        String expected = "/stages/" + options.stage();
        if (!exchange.method().equals("POST") || !exchange.path().equals(expected)) {
            exchange.refuse(404, exchange.method() + " " + exchange.path() + ": expected POST " + expected);
            return;
        }
        Either<String, WorkCall> read = WorkCall.read(exchange);
        if (read.isLeft()) {
            exchange.refuse(400, read.getLeft());
            return;
        }
        StageJob job = new StageJob(exchange, read.get());
        if (offer(job)) {
            exchange.onClosed(() -> cancel(job));
        }
    }

    @Override
    void start(StageJob job) {
        timers().after(faults().scaled(workTime.next()), () -> complete(job));
    }

    @Override
    void clearState() {
        // A stage server has no state besides its jobs.
    }

    private synchronized void complete(StageJob job) {
        if (!isRunning(job)) {
            return;
        }
        finish(job);
        job.exchange().answer(200, new WorkCall.Answer(job.exchange().ids(job.ids()), output(job.call.input())));
    }

    private Object output(JsonNode input) {
        return switch (options.stage()) {
            case "encode" -> vector(input);
            case "retrieve" -> documents(input);
            default -> reranked(input);
        };
    }

    private static List<Double> vector(JsonNode input) {
        SplittableRandom random = new SplittableRandom(Hashing.number(Json.text(input)));
        List<Double> vector = new ArrayList<>();
        for (int index = 0; index < VECTOR_LENGTH; index++) {
            vector.add(random.nextDouble(-1, 1));
        }
        return vector;
    }

    private static List<Document> documents(JsonNode input) {
        SplittableRandom random = new SplittableRandom(Hashing.number(Json.text(input)));
        List<Document> documents = new ArrayList<>();
        for (int index = 0; index < DOCUMENT_COUNT; index++) {
            int number = random.nextInt(CORPUS_SIZE);
            documents.add(new Document("document-" + number, "Notes of dish " + number, random.nextDouble()));
        }
        return documents;
    }

    private static List<JsonNode> reranked(JsonNode input) {
        JsonNode documents = input.isObject() && input.has("documents") ? input.get("documents") : input;
        List<JsonNode> ordered = new ArrayList<>();
        if (!documents.isArray()) {
            ordered.add(documents);
            return ordered;
        }
        documents.forEach(ordered::add);
        ordered.sort(Comparator.comparingDouble(
                (JsonNode document) -> -document.path("score").asDouble()));
        return ordered;
    }
}
