package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.rollout.RolloutLimits;
import org.wagtaillug.settings.RoutedSettings.Address;

/**
 * Reads {@link RoutedSettings} from a text. Validates in code instead of with a schema: loading the schema library
 * takes a third of the start-up time of such a node.
 */
final class RoutedSettingsReader {
    private static final Map<String, List<String>> FIELDS = Map.of(
            "",
                    List.of(
                            "node",
                            "listen",
                            "store",
                            "seeds",
                            "processor",
                            "repeats",
                            "cold_upstreams",
                            "rollouts",
                            "shutdown_grace",
                            "contention",
                            "agreements",
                            "without"),
            "node", List.of("vm", "name", "domain"),
            "listen", List.of("callers", "readiness", "administration", "link", "tunnels"),
            "processor", List.of("share", "speed"),
            "cold_upstreams", List.of("ratio", "fixed"),
            "rollouts", List.of("ratio", "fixed"),
            "repeats", List.of("window", "ratio", "fixed"));

    private static final double DEFAULT_CAPACITY = 1;

    private final Document document;
    private final List<SettingsProblem> problems;

    private RoutedSettingsReader(Document document, List<SettingsProblem> problems) {
        this.document = document;
        this.problems = problems;
    }

    static Either<List<SettingsProblem>, RoutedSettings> read(String text, String fileName) {
        DocumentReader.ParseResult parsed = DocumentReader.yaml(text, fileName);
        List<SettingsProblem> problems = new ArrayList<>(parsed.problems());
        if (parsed.documents().size() != 1) {
            String found = parsed.documents().size() + " documents";
            problems.add(new SettingsProblem(fileName, 1, "", found, "one document", Optional.empty()));
            return Either.left(SettingsProblems.sorted(problems));
        }
        RoutedSettingsReader reader =
                new RoutedSettingsReader(parsed.documents().getFirst(), problems);
        Optional<RoutedSettings> settings = reader.settings();
        return problems.isEmpty() && settings.isPresent()
                ? Either.right(settings.get())
                : Either.left(SettingsProblems.sorted(problems));
    }

    private Optional<RoutedSettings> settings() {
        FIELDS.forEach(this::rejectUnknownFields);
        String vm = text("node.vm", "the IP address of this node");
        String name = text("node.name", "a name");
        String domain = text("node.domain", "a failure domain");
        Address callers = address("listen.callers");
        Address readiness = address("listen.readiness");
        Address administration = address("listen.administration");
        Address link = address("listen.link");
        Optional<Address> tunnels =
                nodeAt("listen.tunnels").isMissingNode() ? Optional.empty() : Optional.of(address("listen.tunnels"));
        Address store = address("store");
        List<VmId> seeds = seeds();
        Duration window = duration("repeats.window");
        double ratio = nonNegative("repeats.ratio");
        double fixed = nonNegative("repeats.fixed");
        Duration shutdownGrace = duration("shutdown_grace");
        PolicyFeatures features = features();
        double capacity = nodeAt("processor").isMissingNode()
                ? DEFAULT_CAPACITY
                : positive("processor.share") * positive("processor.speed");
        RoutedSettings.ColdBound coldBound = nodeAt("cold_upstreams").isMissingNode()
                ? RoutedSettings.ColdBound.DEFAULT
                : new RoutedSettings.ColdBound(
                        nonNegative("cold_upstreams.ratio"), nonNegative("cold_upstreams.fixed"));
        RolloutLimits rolloutLimits = nodeAt("rollouts").isMissingNode()
                ? RolloutLimits.DEFAULT
                : new RolloutLimits(nonNegative("rollouts.ratio"), nonNegative("rollouts.fixed"));
        Contention contention = contention();
        List<String> agreements = agreements();
        if (!problems.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new RoutedSettings(
                new RoutedSettings.Identity(new VmId(vm), name, new DomainId(domain)),
                new RoutedSettings.Listeners(callers, readiness, administration, link, tunnels),
                store,
                seeds,
                new RoutedSettings.RetryLimits(window, ratio, fixed),
                shutdownGrace,
                features,
                capacity,
                coldBound,
                rolloutLimits,
                contention,
                agreements));
    }

    private Contention contention() {
        JsonNode node = nodeAt("contention");
        if (node.isMissingNode()) {
            return Contention.ANNOUNCED;
        }
        // YAML reads "on" and "off" without quotes as booleans.
        if (node.isBoolean()) {
            return node.asBoolean() ? Contention.ON : Contention.OFF;
        }
        for (Contention each : Contention.values()) {
            if (each.name().toLowerCase(Locale.ROOT).equals(node.textValue())) {
                return each;
            }
        }
        problems.add(document.problem("contention", ValueText.of(node), "off, announced or on"));
        return Contention.ANNOUNCED;
    }

    private List<String> agreements() {
        List<String> agreements = new ArrayList<>();
        JsonNode list = nodeAt("agreements");
        if (!list.isArray() && !list.isMissingNode()) {
            problems.add(document.problem("agreements", ValueText.of(list), "a list of names"));
        }
        list.forEach(name -> agreements.add(name.asText()));
        return agreements;
    }

    /** All features except those listed in the optional field {@code without}. */
    private PolicyFeatures features() {
        Map<String, PolicyFeature> known = new TreeMap<>();
        for (PolicyFeature feature : PolicyFeature.values()) {
            known.put(feature.name().toLowerCase(Locale.ROOT), feature);
        }
        JsonNode list = nodeAt("without");
        if (!list.isArray() && !list.isMissingNode()) {
            problems.add(document.problem("without", ValueText.of(list), "a list of policy features"));
        }
        List<PolicyFeature> disabled = new ArrayList<>();
        for (int index = 0; index < list.size(); index++) {
            String name = list.path(index).asText();
            if (!known.containsKey(name)) {
                problems.add(document.problem(
                        DocumentPath.item("without", index),
                        ValueText.of(list.path(index)),
                        "one of " + String.join(", ", known.keySet()),
                        NearestName.of(name, known.keySet())));
                continue;
            }
            disabled.add(known.get(name));
        }
        return PolicyFeatures.without(disabled);
    }

    private void rejectUnknownFields(String path, List<String> known) {
        nodeAt(path).fieldNames().forEachRemaining(field -> {
            if (!known.contains(field)) {
                String fieldPath = path.isEmpty() ? field : DocumentPath.field(path, field);
                problems.add(document.problem(
                        fieldPath,
                        ValueText.quoted(field),
                        "one of " + String.join(", ", known),
                        NearestName.of(field, known)));
            }
        });
    }

    private JsonNode nodeAt(String path) {
        JsonNode node = document.root();
        for (String field : path.split("\\.")) {
            node = field.isEmpty() ? node : node.path(field);
        }
        return node;
    }

    private String text(String path, String expected) {
        JsonNode node = nodeAt(path);
        if (!node.isTextual() || node.textValue().isBlank()) {
            problems.add(document.problem(path, ValueText.of(node), expected));
            return "";
        }
        return node.textValue();
    }

    private Address address(String path) {
        String expected = "an IP address and a port, for example 10.1.0.41:8625";
        JsonNode node = nodeAt(path);
        Optional<Address> address = node.isTextual() ? Address.parse(node.textValue()) : Optional.empty();
        if (address.isEmpty()) {
            problems.add(document.problem(path, ValueText.of(node), expected));
        }
        return address.orElse(new Address("", 0));
    }

    private List<VmId> seeds() {
        List<VmId> seeds = new ArrayList<>();
        JsonNode list = nodeAt("seeds");
        for (int index = 0; index < list.size(); index++) {
            Optional<Address> seed = Address.parse(list.path(index).asText());
            if (seed.isEmpty()) {
                String path = DocumentPath.item("seeds", index);
                String expected = "the address of a node's link, for example 10.1.0.41:8628";
                problems.add(document.problem(path, ValueText.of(list.path(index)), expected));
                continue;
            }
            // Nodes are identified by their IP address, and the link port is the same on all of them.
            seeds.add(new VmId(seed.get().host()));
        }
        return seeds;
    }

    private Duration duration(String path) {
        JsonNode node = nodeAt(path);
        Optional<Duration> duration = Optional.ofNullable(node.textValue()).flatMap(DurationText::parse);
        if (duration.isEmpty()) {
            problems.add(document.problem(path, ValueText.of(node), "a duration, for example 10s"));
        }
        return duration.orElse(Duration.ZERO);
    }

    private double nonNegative(String path) {
        JsonNode node = nodeAt(path);
        if (!node.isNumber() || node.asDouble() < 0) {
            problems.add(document.problem(path, ValueText.of(node), "a number of at least 0"));
        }
        return node.asDouble();
    }

    private double positive(String path) {
        JsonNode node = nodeAt(path);
        if (!node.isNumber() || node.asDouble() <= 0) {
            problems.add(document.problem(path, ValueText.of(node), "a number above 0"));
        }
        return node.asDouble();
    }
}
