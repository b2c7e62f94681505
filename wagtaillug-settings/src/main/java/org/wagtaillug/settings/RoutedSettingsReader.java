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
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.rollout.RolloutLimits;
import org.wagtaillug.settings.RoutedSettings.Address;

/**
 * Makes {@link RoutedSettings} of a text. Checks by hand rather than by schema: loading a schema library is a third of the
 * time that such a node takes to start.
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
                            "without"),
            "node", List.of("vm", "name", "domain"),
            "listen", List.of("callers", "readiness", "administration", "link"),
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
        DocumentReader.Reading reading = DocumentReader.yaml(text, fileName);
        List<SettingsProblem> problems = new ArrayList<>(reading.problems());
        if (reading.documents().size() != 1) {
            String found = reading.documents().size() + " documents";
            problems.add(new SettingsProblem(fileName, 1, "", found, "one document", Optional.empty()));
            return Either.left(SettingsProblems.sorted(problems));
        }
        RoutedSettingsReader reader =
                new RoutedSettingsReader(reading.documents().getFirst(), problems);
        Optional<RoutedSettings> settings = reader.settings();
        return problems.isEmpty() && settings.isPresent()
                ? Either.right(settings.get())
                : Either.left(SettingsProblems.sorted(problems));
    }

    private Optional<RoutedSettings> settings() {
        FIELDS.forEach(this::onlyKnown);
        String vm = text("node.vm", "the IP number of this node");
        String name = text("node.name", "a name");
        String domain = text("node.domain", "a failure domain");
        Address callers = address("listen.callers");
        Address readiness = address("listen.readiness");
        Address administration = address("listen.administration");
        Address link = address("listen.link");
        Address store = address("store");
        List<VmId> seeds = seeds();
        Duration window = duration("repeats.window");
        double ratio = number("repeats.ratio");
        double fixed = number("repeats.fixed");
        Duration grace = duration("shutdown_grace");
        PolicyFeatures features = features();
        double capacity = at("processor").isMissingNode()
                ? DEFAULT_CAPACITY
                : positive("processor.share") * positive("processor.speed");
        RoutedSettings.ColdBound coldBound = at("cold_upstreams").isMissingNode()
                ? RoutedSettings.ColdBound.DEFAULT
                : new RoutedSettings.ColdBound(number("cold_upstreams.ratio"), number("cold_upstreams.fixed"));
        RolloutLimits rolloutLimits = at("rollouts").isMissingNode()
                ? RolloutLimits.DEFAULT
                : new RolloutLimits(number("rollouts.ratio"), number("rollouts.fixed"));
        if (!problems.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new RoutedSettings(
                new RoutedSettings.Identity(new VmId(vm), name, new DomainId(domain)),
                new RoutedSettings.Listen(callers, readiness, administration, link),
                store,
                seeds,
                new RoutedSettings.Repeats(window, ratio, fixed),
                grace,
                features,
                capacity,
                coldBound,
                rolloutLimits));
    }

    /** All features but those that the field names, which may be missing. */
    private PolicyFeatures features() {
        Map<String, PolicyFeature> known = new TreeMap<>();
        for (PolicyFeature mechanism : PolicyFeature.values()) {
            known.put(mechanism.name().toLowerCase(Locale.ROOT), mechanism);
        }
        JsonNode list = at("without");
        if (!list.isArray() && !list.isMissingNode()) {
            problems.add(document.problem("without", Found.of(list), "a list of mechanisms"));
        }
        List<PolicyFeature> off = new ArrayList<>();
        for (int index = 0; index < list.size(); index++) {
            String name = list.path(index).asText();
            if (!known.containsKey(name)) {
                problems.add(document.problem(
                        DocumentPath.item("without", index),
                        Found.of(list.path(index)),
                        "one of " + String.join(", ", known.keySet()),
                        NearestName.of(name, known.keySet())));
                continue;
            }
            off.add(known.get(name));
        }
        return PolicyFeatures.without(off);
    }

    private void onlyKnown(String path, List<String> known) {
        at(path).fieldNames().forEachRemaining(field -> {
            if (!known.contains(field)) {
                String where = path.isEmpty() ? field : DocumentPath.field(path, field);
                problems.add(document.problem(
                        where,
                        Found.quoted(field),
                        "one of " + String.join(", ", known),
                        NearestName.of(field, known)));
            }
        });
    }

    private JsonNode at(String path) {
        JsonNode node = document.root();
        for (String field : path.split("\\.")) {
            node = field.isEmpty() ? node : node.path(field);
        }
        return node;
    }

    private String text(String path, String expected) {
        JsonNode node = at(path);
        if (!node.isTextual() || node.textValue().isBlank()) {
            problems.add(document.problem(path, Found.of(node), expected));
            return "";
        }
        return node.textValue();
    }

    private Address address(String path) {
        String expected = "an IP number and a port, for example 10.1.0.41:8625";
        JsonNode node = at(path);
        Optional<Address> address = node.isTextual() ? Address.parse(node.textValue()) : Optional.empty();
        if (address.isEmpty()) {
            problems.add(document.problem(path, Found.of(node), expected));
        }
        return address.orElse(new Address("", 0));
    }

    private List<VmId> seeds() {
        List<VmId> seeds = new ArrayList<>();
        JsonNode list = at("seeds");
        for (int index = 0; index < list.size(); index++) {
            Optional<Address> seed = Address.parse(list.path(index).asText());
            if (seed.isEmpty()) {
                String path = DocumentPath.item("seeds", index);
                String expected = "the address of a node's link, for example 10.1.0.41:8628";
                problems.add(document.problem(path, Found.of(list.path(index)), expected));
                continue;
            }
            // Nodes are named by their IP number, and all of them listen for one another on the same port.
            seeds.add(new VmId(seed.get().host()));
        }
        return seeds;
    }

    private Duration duration(String path) {
        JsonNode node = at(path);
        Optional<Duration> duration = Optional.ofNullable(node.textValue()).flatMap(DurationText::parse);
        if (duration.isEmpty()) {
            problems.add(document.problem(path, Found.of(node), "a duration, for example 10s"));
        }
        return duration.orElse(Duration.ZERO);
    }

    private double number(String path) {
        JsonNode node = at(path);
        if (!node.isNumber() || node.asDouble() < 0) {
            problems.add(document.problem(path, Found.of(node), "a number that is not below 0"));
        }
        return node.asDouble();
    }

    private double positive(String path) {
        JsonNode node = at(path);
        if (!node.isNumber() || node.asDouble() <= 0) {
            problems.add(document.problem(path, Found.of(node), "a number above 0"));
        }
        return node.asDouble();
    }
}
