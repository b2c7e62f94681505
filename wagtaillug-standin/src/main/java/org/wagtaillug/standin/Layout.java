package org.wagtaillug.standin;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.wagtaillug.standin.options.CommonOptions;
import org.wagtaillug.standin.options.NearestName;
import org.wagtaillug.standin.platform.Vm;

/**
 * A set of stand-ins and nodes, read from a YAML file:
 *
 * <pre>
 * region: port-louis
 * defaults:
 *   engine: {slots: 8, model: menu-7b}
 * standins:
 *   - {kind: log, name: log, port: 9000}
 *   - {kind: engine, name: engine-1, port: 9100, pool: generate, domain: pl-a}
 * nodes:
 *   - {name: node-1, address: 127.0.0.1, port: 9010, domain: pl-a}
 * </pre>
 *
 * <p>All other members of a stand-in entry are the options of its kind. {@code region} is the default region of all entries;
 * {@code defaults} holds default options by kind.
 *
 * @param standIns the stand-ins to start
 * @param nodes the VM list entries of the nodes
 */
public record Layout(List<Entry> standIns, List<Vm> nodes) {
    /**
     * One stand-in.
     *
     * @param kind its kind
     * @param name its name, unique in the layout
     * @param pool its pool; upstreams only, else empty
     * @param domain its failure domain; upstreams only, else empty
     * @param region its region; upstreams only, else empty
     * @param options its options
     */
    public record Entry(
            StandInKind kind, String name, String pool, String domain, String region, CommonOptions options) {}

    private static final ObjectMapper YAML = YAMLMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
            .visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final List<String> TOP_LEVEL_MEMBERS = List.of("region", "defaults", "standins", "nodes");
    private static final List<String> ENTRY_MEMBERS = List.of("kind", "name", "pool", "domain", "region");
    private static final List<String> NODE_MEMBERS = List.of("name", "address", "port", "domain", "region");

    /**
     * Reads a layout.
     *
     * @return the layout, or all problems of the file, one per line
     */
    public static Either<String, Layout> read(Path file) {
        if (!Files.isReadable(file)) {
            return Either.left(file + ": not found, expected a readable layout file");
        }
        try {
            JsonNode tree = YAML.readTree(Files.readString(file));
            return new Reader(file.toString(), tree).read();
        } catch (JsonProcessingException malformed) {
            return Either.left(file + ": expected YAML: " + malformed.getMessage());
        } catch (IOException unreadable) {
            return Either.left(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    private static final class Reader {
        private final String file;
        private final JsonNode tree;
        private final List<String> problems = new ArrayList<>();
        private final Set<String> names = new HashSet<>();
        private final Set<String> reservedAddresses = new HashSet<>();

        private Reader(String file, JsonNode tree) {
            this.file = file;
            this.tree = tree;
        }

        private Either<String, Layout> read() {
            rejectUnknownNames("", tree, TOP_LEVEL_MEMBERS);
            List<Entry> entries = new ArrayList<>();
            int index = 0;
            for (JsonNode node : tree.path("standins")) {
                readEntry("standins[" + index++ + "]", node, entries);
            }
            List<Vm> nodes = new ArrayList<>();
            index = 0;
            for (JsonNode node : tree.path("nodes")) {
                readNode("nodes[" + index++ + "]", node, nodes);
            }
            if (entries.isEmpty() && problems.isEmpty()) {
                problem("standins", "empty, expected at least one stand-in");
            }
            if (!problems.isEmpty()) {
                return Either.left(String.join(System.lineSeparator(), problems));
            }
            return Either.right(new Layout(List.copyOf(entries), List.copyOf(nodes)));
        }

        private void readEntry(String path, JsonNode node, List<Entry> entries) {
            String kindName = node.path("kind").asText("");
            if (!StandInKind.NAMES.contains(kindName)) {
                problem(
                        path + ".kind",
                        "found '" + kindName + "', " + NearestName.expected(kindName, StandInKind.NAMES));
                return;
            }
            StandInKind kind = StandInKind.of(kindName);
            String name = required(path, node, "name");
            boolean upstream = kind.isUpstream();
            String pool = upstream ? required(path, node, "pool") : "";
            String domain = upstream ? required(path, node, "domain") : "";
            String region = upstream ? region(path, node) : "";
            if (!names.add(name)) {
                problem(path + ".name", "found '" + name + "' a second time, expected a unique name");
            }
            CommonOptions options = readOptions(path, kind, node);
            if (options == null) {
                return;
            }
            reserveAddress(path, options.address(), options.port());
            entries.add(new Entry(kind, name, pool, domain, region, options));
        }

        private CommonOptions readOptions(String path, StandInKind kind, JsonNode node) {
            ObjectNode options = YAML.createObjectNode();
            JsonNode defaults = tree.path("defaults").path(kind.optionName());
            if (defaults.isObject()) {
                options.setAll((ObjectNode) defaults);
            }
            options.setAll((ObjectNode) node);
            options.remove(ENTRY_MEMBERS);
            try {
                CommonOptions read = YAML.treeToValue(options, kind.optionsType());
                for (String invalid : read.problems()) {
                    problems.add(file + ": " + path + "." + invalid);
                }
                return read;
            } catch (UnrecognizedPropertyException unknown) {
                Collection<String> known = new TreeSet<>(ENTRY_MEMBERS);
                unknown.getKnownPropertyIds().forEach(id -> known.add(id.toString()));
                problem(path + "." + unknown.getPropertyName(), NearestName.expected(unknown.getPropertyName(), known));
            } catch (JsonProcessingException invalid) {
                problem(path, invalid.getOriginalMessage());
            }
            return null;
        }

        private void readNode(String path, JsonNode node, List<Vm> nodes) {
            rejectUnknownNames(path + ".", node, NODE_MEMBERS);
            String name = required(path, node, "name");
            int port = node.path("port").asInt();
            if (port < 1) {
                problem(path + ".port", "found '" + node.path("port").asText() + "', expected the node's link port");
            }
            String address = node.path("address").asText("127.0.0.1");
            reserveAddress(path, address, port);
            nodes.add(new Vm(
                    name, "node", null, required(path, node, "domain"), region(path, node), address, port, "live"));
        }

        private void reserveAddress(String path, String address, int port) {
            if (port != 0 && !reservedAddresses.add(address + ":" + port)) {
                problem(path + ".port", "found " + port + " a second time, expected a port of its own");
            }
        }

        private String region(String path, JsonNode node) {
            if (node.has("region") || !tree.has("region")) {
                return required(path, node, "region");
            }
            return tree.path("region").asText();
        }

        private String required(String path, JsonNode node, String member) {
            String found = node.path(member).asText("");
            if (found.isEmpty()) {
                problem(path + "." + member, "missing, expected a name");
            }
            return found;
        }

        private void rejectUnknownNames(String path, JsonNode node, List<String> valid) {
            node.fieldNames().forEachRemaining(name -> {
                if (!valid.contains(name)) {
                    problem(path + name, NearestName.expected(name, valid));
                }
            });
        }

        private void problem(String path, String text) {
            problems.add(file + ": " + path + ": " + text);
        }
    }
}
