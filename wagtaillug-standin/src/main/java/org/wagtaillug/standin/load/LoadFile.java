package org.wagtaillug.standin.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.wagtaillug.standin.options.NearestName;

/**
 * The description of a load, read from a YAML file:
 *
 * <pre>
 * nodes: [http://127.0.0.1:8001, http://127.0.0.1:8002]
 * duration: 60s
 * warm_up: 20s
 * rate: 40
 * burst: {at: 20s, for: 10s, factor: 3}
 * customers:
 *   - {name: office-nord, share: 4, worths: {draft: 8}}
 * kinds:
 *   - {name: draft, template: menu-draft, share: 1, worth: 5, deadline: 10s, max_tokens: 64, prefix: brief, prefixes: 12}
 *   - {name: confirmation, template: kitchen-confirmation, share: 1, worth: 10, deadline: 5s, idempotency_key: true}
 * ledgers: [http://127.0.0.1:9121]
 * faults:
 *   - {at: 30s, url: "http://127.0.0.1:9100/faults", body: {fault: restart}}
 * </pre>
 *
 * @param nodes the base URLs of the nodes
 * @param duration how long to send, including the warm-up
 * @param warmUp the initial period whose requests are not counted and whose rate increases linearly from zero; 0s by
 *     default; a burst must start after it
 * @param rate requests per second
 * @param burst a period with a higher rate; absent for none
 * @param customers the customers; a share is a relative weight
 * @param kinds the kinds of request; a share is a relative weight
 * @param ledgers plain services whose {@code /executions} are read at the end to find keys that ran twice, or ran although
 *     the request was refused as not run; empty by default
 * @param faults calls to make during the run, usually to inject faults; empty by default
 */
public record LoadFile(
        List<URI> nodes,
        Duration duration,
        Duration warmUp,
        double rate,
        Burst burst,
        List<Customer> customers,
        List<Kind> kinds,
        List<URI> ledgers,
        List<TimedCall> faults) {

    /** Replaces absent lists with empty ones and an absent warm-up with zero. */
    public LoadFile {
        warmUp = warmUp == null ? Duration.ZERO : warmUp;
        nodes = nodes == null ? List.of() : List.copyOf(nodes);
        customers = customers == null ? List.of() : List.copyOf(customers);
        kinds = kinds == null ? List.of() : List.copyOf(kinds);
        ledgers = ledgers == null ? List.of() : List.copyOf(ledgers);
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    /**
     * A period with a higher rate.
     *
     * @param at its start, relative to the start of the run
     * @param length its length; {@code for} in the file
     * @param factor the multiplier of the rate
     */
    public record Burst(Duration at, @JsonProperty("for") Duration length, double factor) {}

    /**
     * A customer and its weight.
     *
     * @param worths the worth of a request by name of its kind, where it differs from the worth of the kind; empty by
     *     default
     */
    public record Customer(String name, double share, Map<String, Double> worths) {
        /** Replaces absent worths with an empty map. */
        public Customer {
            worths = worths == null ? Map.of() : Map.copyOf(worths);
        }

        /** Returns the worth of a request of a kind to this customer if it is served in time. */
        double worth(Kind kind) {
            return worths.getOrDefault(kind.name(), kind.worth());
        }
    }

    /**
     * A kind of request.
     *
     * @param name its name in the report
     * @param template the template's name
     * @param share its weight
     * @param worth the worth of a request that is served in time
     * @param stream whether to request a streamed answer
     * @param deadline the caller's deadline, relative to the send time
     * @param maxTokens the maximum number of tokens to generate; absent for the template's default
     * @param idempotencyKey whether each request has a unique idempotency key
     * @param input the input to send; absent for {@code inputWords} random words
     * @param inputWords the number of random words in the input; 20 by default
     * @param prefix the name of a common input prefix, sent as {@code prefix}. The input starts with random words that
     *     depend on this name only. Absent for none
     * @param prefixes the number of prefixes per customer, numbered from 0; 1 by default, without a number and common to all
     *     customers
     */
    public record Kind(
            String name,
            String template,
            double share,
            double worth,
            boolean stream,
            Duration deadline,
            Integer maxTokens,
            boolean idempotencyKey,
            JsonNode input,
            Integer inputWords,
            String prefix,
            Integer prefixes) {
        private static final int DEFAULT_INPUT_WORDS = 20;

        /** Sets the defaults of absent values. */
        public Kind {
            inputWords = inputWords == null ? DEFAULT_INPUT_WORDS : inputWords;
            prefixes = prefixes == null ? 1 : prefixes;
        }
    }

    /**
     * A call at a given time of the run, usually to inject a fault.
     *
     * @param at the time of the call, relative to the start of the run
     * @param url the target
     * @param method POST by default
     * @param body the JSON to send
     */
    public record TimedCall(Duration at, URI url, String method, JsonNode body) {
        /** Uses POST if no method is given. */
        public TimedCall {
            method = method == null ? "POST" : method;
        }
    }

    private static final ObjectMapper YAML = YAMLMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .addModule(new SimpleModule().addDeserializer(Duration.class, new DurationDeserializer()))
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /**
     * Reads a load file.
     *
     * @return the content of the file, or all its problems, one per line
     */
    public static Either<String, LoadFile> read(Path file) {
        if (!Files.isReadable(file)) {
            return Either.left(file + ": not found, expected a readable load file");
        }
        String text = "";
        try {
            text = Files.readString(file);
            LoadFile read = YAML.readValue(text, LoadFile.class);
            if (read == null) {
                return Either.left(file + ": empty, expected nodes, duration, rate, customers and kinds");
            }
            List<String> problems = read.problems();
            if (problems.isEmpty()) {
                return Either.right(read);
            }
            return Either.left(file + ": " + String.join(System.lineSeparator() + file + ": ", problems));
        } catch (JsonProcessingException failure) {
            return Either.left(file + ": " + describe(failure, text));
        } catch (IOException unreadable) {
            return Either.left(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    private static String describe(JsonProcessingException failure, String text) {
        if (!(failure instanceof JsonMappingException mapping)) {
            return line(failure.getLocation()) + failure.getOriginalMessage();
        }
        String place = line(locate(mapping, text)) + path(mapping) + ": ";
        if (failure instanceof UnrecognizedPropertyException unknown) {
            TreeSet<String> known = new TreeSet<>();
            unknown.getKnownPropertyIds().forEach(id -> known.add(id.toString()));
            return place + NearestName.expected(unknown.getPropertyName(), known);
        }
        return place + failure.getOriginalMessage();
    }

    private static String line(JsonLocation location) {
        return location == null ? "" : "line " + location.getLineNr() + ": ";
    }

    /**
     * Returns the location of the member that caused a problem. The mapper reports the end of the enclosing object instead.
     */
    private static JsonLocation locate(JsonMappingException failure, String text) {
        String wanted = "/" + path(failure).replace("[", ".").replace("]", "").replace('.', '/');
        try (JsonParser parser = YAML.createParser(text)) {
            while (parser.nextToken() != null) {
                if (parser.getParsingContext().pathAsPointer().toString().equals(wanted)) {
                    return parser.currentTokenLocation();
                }
            }
        } catch (IOException unreadable) {
            return failure.getLocation();
        }
        return failure.getLocation();
    }

    private static String path(JsonMappingException failure) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : failure.getPath()) {
            if (reference.getFieldName() == null) {
                path.append('[').append(reference.getIndex()).append(']');
                continue;
            }
            path.append(path.isEmpty() ? "" : ".").append(reference.getFieldName());
        }
        return path.toString();
    }

    private List<String> problems() {
        List<String> problems = new ArrayList<>();
        require(problems, !nodes.isEmpty(), "nodes: empty, expected at least one address");
        require(problems, duration != null && !duration.isZero(), "duration: expected a time above 0s");
        boolean warmUpFits = duration == null || warmUp.compareTo(duration) < 0;
        require(problems, warmUpFits, "warm_up: expected a time below the duration");
        require(problems, rate > 0, "rate: found " + rate + ", expected requests a second, above 0");
        require(problems, !customers.isEmpty(), "customers: empty, expected at least one");
        require(problems, !kinds.isEmpty(), "kinds: empty, expected at least one");
        if (burst != null) {
            require(problems, burst.at() != null && burst.length() != null, "burst: expected at, for and factor");
            boolean afterWarmUp = burst.at() == null || burst.at().compareTo(warmUp) >= 0;
            require(problems, afterWarmUp, "burst.at: expected a time after the warm-up");
            require(problems, burst.factor() > 0, "burst.factor: found " + burst.factor() + ", expected above 0");
        }
        for (int index = 0; index < customers.size(); index++) {
            Customer customer = customers.get(index);
            String path = "customers[" + index + "].";
            require(problems, customer.name() != null, path + "name: missing, expected a customer's name");
            require(problems, customer.share() > 0, path + "share: found " + customer.share() + ", expected above 0");
        }
        for (int index = 0; index < kinds.size(); index++) {
            check(problems, "kinds[" + index + "].", kinds.get(index));
        }
        for (int index = 0; index < faults.size(); index++) {
            TimedCall fault = faults.get(index);
            require(
                    problems,
                    fault.at() != null && fault.url() != null && fault.body() != null,
                    "faults[" + index + "]: expected at, url and body");
        }
        return problems;
    }

    private static void check(List<String> problems, String path, Kind kind) {
        require(problems, kind.name() != null, path + "name: missing, expected a name for the report");
        require(problems, kind.template() != null, path + "template: missing, expected a template's name");
        require(problems, kind.share() > 0, path + "share: found " + kind.share() + ", expected above 0");
        boolean hasDeadline = kind.deadline() != null && !kind.deadline().isZero();
        require(problems, hasDeadline, path + "deadline: expected a time above 0s");
        require(problems, kind.prefixes() > 0, path + "prefixes: found " + kind.prefixes() + ", expected above 0");
    }

    private static void require(List<String> problems, boolean valid, String problem) {
        if (!valid) {
            problems.add(problem);
        }
    }
}
