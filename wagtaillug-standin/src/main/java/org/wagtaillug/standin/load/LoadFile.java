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
import java.util.TreeSet;
import org.wagtaillug.standin.options.Nearest;

/**
 * What to send, as read from a YAML file:
 *
 * <pre>
 * nodes: [http://127.0.0.1:8001, http://127.0.0.1:8002]
 * warm_up: 5s
 * duration: 60s
 * rate: 40
 * burst: {at: 20s, for: 10s, factor: 3}
 * customers:
 *   - {name: office-nord, share: 4}
 * kinds:
 *   - {name: draft, template: menu-draft, share: 1, worth: 5, stream: true, deadline: 10s, max_tokens: 64, input_words: 40}
 *   - {name: confirmation, template: kitchen-confirmation, share: 1, worth: 10, deadline: 5s, idempotency_key: true}
 * ledgers: [http://127.0.0.1:9121]
 * faults:
 *   - {at: 30s, url: "http://127.0.0.1:9100/faults", body: {fault: restart}}
 * </pre>
 *
 * @param nodes the nodes' addresses for callers
 * @param warmUp for how long to send before the measured time; such requests are checked for truth but not counted. None
 *     by default
 * @param duration for how long to send and count; all other times count from its start
 * @param rate requests a second
 * @param burst a time of a higher rate; absent for none
 * @param customers who sends; a share is a weight
 * @param kinds what is sent; a share is a weight
 * @param ledgers plain services whose {@code /executions} show at the end whether a key ran twice or ran though it was
 *     refused as not run; empty by default
 * @param faults what to switch while it runs; empty by default
 */
public record LoadFile(
        List<URI> nodes,
        Duration warmUp,
        Duration duration,
        double rate,
        Burst burst,
        List<Customer> customers,
        List<Kind> kinds,
        List<URI> ledgers,
        List<TimedCall> faults) {

    /** Replaces absent lists by empty ones. */
    public LoadFile {
        warmUp = warmUp == null ? Duration.ZERO : warmUp;
        nodes = nodes == null ? List.of() : List.copyOf(nodes);
        customers = customers == null ? List.of() : List.copyOf(customers);
        kinds = kinds == null ? List.of() : List.copyOf(kinds);
        ledgers = ledgers == null ? List.of() : List.copyOf(ledgers);
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    /**
     * A time of a higher rate.
     *
     * @param at when it begins, from the start
     * @param length how long it lasts; {@code for} in the file
     * @param factor what the rate is multiplied by
     */
    public record Burst(Duration at, @JsonProperty("for") Duration length, double factor) {}

    /** A customer and its weight. */
    public record Customer(String name, double share) {}

    /**
     * A kind of request.
     *
     * @param name its name in the report
     * @param template the template's name
     * @param share its weight
     * @param worth what one that is served in time is worth
     * @param stream whether the answer is to be streamed
     * @param deadline the caller's deadline, from the sending
     * @param maxTokens the most tokens to generate; absent for the template's own
     * @param idempotencyKey whether each request carries a key of its own
     * @param input the input to send; absent for {@code inputWords} random words
     * @param inputWords how many random words the input has; 20 by default
     * @param prefixes out of how many shared starts the random words of a request take theirs, named in {@code prefix};
     *     0 by default, for none
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
            int prefixes) {
        private static final int DEFAULT_INPUT_WORDS = 20;

        /** Takes the default number of words if none is given. */
        public Kind {
            inputWords = inputWords == null ? DEFAULT_INPUT_WORDS : inputWords;
        }
    }

    /**
     * One call at a time of the run, for a fault or anything else.
     *
     * @param at when, from the start
     * @param url where
     * @param method POST by default
     * @param body the JSON to send
     */
    public record TimedCall(Duration at, URI url, String method, JsonNode body) {
        /** Takes POST if no method is given. */
        public TimedCall {
            method = method == null ? "POST" : method;
        }
    }

    private static final ObjectMapper YAML = YAMLMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .addModule(new SimpleModule().addDeserializer(Duration.class, new DurationReader()))
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /**
     * Reads a load file.
     *
     * @return the file's content, or all that is wrong with it, one problem a line
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
        } catch (JsonProcessingException wrong) {
            return Either.left(file + ": " + describe(wrong, text));
        } catch (IOException unreadable) {
            return Either.left(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    private static String describe(JsonProcessingException wrong, String text) {
        if (!(wrong instanceof JsonMappingException mapping)) {
            return line(wrong.getLocation()) + wrong.getOriginalMessage();
        }
        String place = line(locate(mapping, text)) + path(mapping) + ": ";
        if (wrong instanceof UnrecognizedPropertyException unknown) {
            TreeSet<String> known = new TreeSet<>();
            unknown.getKnownPropertyIds().forEach(id -> known.add(id.toString()));
            return place + Nearest.expected(unknown.getPropertyName(), known);
        }
        return place + wrong.getOriginalMessage();
    }

    private static String line(JsonLocation location) {
        return location == null ? "" : "line " + location.getLineNr() + ": ";
    }

    /** Finds the member that a problem names: the mapper itself reports the end of the object around it. */
    private static JsonLocation locate(JsonMappingException wrong, String text) {
        String wanted = "/" + path(wrong).replace("[", ".").replace("]", "").replace('.', '/');
        try (JsonParser parser = YAML.createParser(text)) {
            while (parser.nextToken() != null) {
                if (parser.getParsingContext().pathAsPointer().toString().equals(wanted)) {
                    return parser.currentTokenLocation();
                }
            }
        } catch (IOException unreadable) {
            return wrong.getLocation();
        }
        return wrong.getLocation();
    }

    private static String path(JsonMappingException wrong) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : wrong.getPath()) {
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
        require(problems, rate > 0, "rate: found " + rate + ", expected requests a second, above 0");
        require(problems, !customers.isEmpty(), "customers: empty, expected at least one");
        require(problems, !kinds.isEmpty(), "kinds: empty, expected at least one");
        if (burst != null) {
            require(problems, burst.at() != null && burst.length() != null, "burst: expected at, for and factor");
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
        require(problems, kind.prefixes() >= 0, path + "prefixes: found " + kind.prefixes() + ", expected 0 or more");
    }

    private static void require(List<String> problems, boolean holds, String problem) {
        if (!holds) {
            problems.add(problem);
        }
    }
}
