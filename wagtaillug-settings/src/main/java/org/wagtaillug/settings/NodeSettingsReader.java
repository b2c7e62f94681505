package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.settings.NodeSettings.AccessToken;
import org.wagtaillug.settings.NodeSettings.Administration;
import org.wagtaillug.settings.NodeSettings.Certificate;
import org.wagtaillug.settings.NodeSettings.Identity;
import org.wagtaillug.settings.NodeSettings.Limits;
import org.wagtaillug.settings.NodeSettings.Link;
import org.wagtaillug.settings.NodeSettings.LinkTls;
import org.wagtaillug.settings.NodeSettings.Listener;
import org.wagtaillug.settings.NodeSettings.Log;
import org.wagtaillug.settings.NodeSettings.Platform;
import org.wagtaillug.settings.NodeSettings.Policy;
import org.wagtaillug.settings.NodeSettings.Role;
import org.wagtaillug.settings.NodeSettings.Seed;

/** Reads {@link NodeSettings} from a text: checks syntax, schema and rules, then converts the values. */
final class NodeSettingsReader {
    private static final Schema SCHEMA = Schema.of("node.yaml", "node-settings");

    private final Path directory;

    private NodeSettingsReader(Path directory) {
        this.directory = directory;
    }

    static Either<List<SettingsProblem>, NodeSettings> read(String text, String fileName) {
        DocumentReader.ParseResult parsed = DocumentReader.yaml(text, fileName);
        List<SettingsProblem> problems = new ArrayList<>(parsed.problems());
        List<Document> documents = parsed.documents();
        if (documents.size() > 1) {
            String expected = "one document, without a line ---";
            problems.add(documents.get(1).problem(DocumentPath.ROOT, "a second document", expected));
        }
        if (!documents.isEmpty()) {
            problems.addAll(SCHEMA.check(documents.getFirst()));
            problems.addAll(NodeSettingsRules.check(documents.getFirst()));
        }
        if (!problems.isEmpty()) {
            return Either.left(SettingsProblems.sorted(problems));
        }
        NodeSettingsReader reader = new NodeSettingsReader(directory(fileName));
        return Either.right(reader.settings(documents.getFirst().root()));
    }

    private static Path directory(String fileName) {
        Path parent = Path.of(fileName).getParent();
        return parent == null ? Path.of("") : parent;
    }

    private NodeSettings settings(JsonNode tree) {
        NodeSettings.Builder settings = NodeSettings.builder(identity(tree.path("node")))
                .callers(listener(tree.path("callers")))
                .administration(administration(tree.path("administration")))
                .link(link(tree.path("link")))
                .platform(platform(tree.path("platform")))
                .limits(limits(tree.path("limits")))
                .log(log(tree.path("log")))
                .shutdownGrace(duration(tree, "shutdown_grace", NodeSettings.DEFAULT_SHUTDOWN_GRACE));
        for (JsonNode seed : tree.path("seeds")) {
            settings.seed(seed(seed));
        }
        if (tree.has("policy")) {
            settings.policy(Policy.valueOf(upperCase(tree, "policy")));
        }
        return settings.build();
    }

    private static Identity identity(JsonNode tree) {
        return new Identity(
                new VmId(text(tree, "vm")), new DomainId(text(tree, "domain")), new RegionId(text(tree, "region")));
    }

    private Listener listener(JsonNode tree) {
        Optional<Certificate> certificate = Optional.empty();
        if (tree.has("tls")) {
            JsonNode tls = tree.path("tls");
            certificate = Optional.of(new Certificate(file(tls, "certificate"), file(tls, "key")));
        }
        return new Listener(text(tree, "address"), tree.path("port").asInt(), certificate);
    }

    private Administration administration(JsonNode tree) {
        List<AccessToken> accessTokens = new ArrayList<>();
        for (JsonNode entry : tree.path("tokens")) {
            Role role = Role.valueOf(upperCase(entry, "role"));
            accessTokens.add(new AccessToken(text(entry, "token"), role, new OperatorId(text(entry, "operator"))));
        }
        return new Administration(listener(tree), accessTokens);
    }

    private Link link(JsonNode tree) {
        Optional<LinkTls> linkTls = Optional.empty();
        if (tree.has("tls")) {
            JsonNode tls = tree.path("tls");
            linkTls = Optional.of(new LinkTls(file(tls, "certificate"), file(tls, "key"), file(tls, "trust")));
        }
        return new Link(text(tree, "address"), tree.path("port").asInt(), linkTls);
    }

    private static Platform platform(JsonNode tree) {
        Duration retention = duration(tree, "retention", Platform.DEFAULT_RETENTION);
        return new Platform(url(tree, "log"), url(tree, "vms"), url(tree, "weights"), retention);
    }

    private static Seed seed(JsonNode tree) {
        return new Seed(
                new VmId(text(tree, "vm")),
                text(tree, "address"),
                tree.path("port").asInt(),
                new DomainId(text(tree, "domain")));
    }

    private static Limits limits(JsonNode tree) {
        Limits defaults = Limits.DEFAULT;
        return new Limits(
                tree.path("requests_in_flight").asInt(defaults.requestsInFlight()),
                tree.path("body_bytes").asInt(defaults.bodyBytes()),
                tree.path("retry_budget").asDouble(defaults.retryBudget()),
                tree.path("hedge_budget").asDouble(defaults.hedgeBudget()),
                duration(tree, "sender_timeout", defaults.senderTimeout()));
    }

    private Log log(JsonNode tree) {
        Optional<Path> file = tree.has("file") ? Optional.of(file(tree, "file")) : Optional.empty();
        System.Logger.Level level = Log.DEFAULT.level();
        if (tree.has("level")) {
            level = System.Logger.Level.valueOf(upperCase(tree, "level"));
        }
        return new Log(file, level);
    }

    private Path file(JsonNode tree, String field) {
        return directory.resolve(text(tree, field));
    }

    private static String url(JsonNode tree, String field) {
        String url = text(tree, field);
        return url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
    }

    private static String text(JsonNode tree, String field) {
        return tree.path(field).textValue();
    }

    private static String upperCase(JsonNode tree, String field) {
        return text(tree, field).toUpperCase(Locale.ROOT);
    }

    private static Duration duration(JsonNode tree, String field, Duration defaultValue) {
        return Optional.ofNullable(tree.path(field).textValue())
                .flatMap(DurationText::parse)
                .orElse(defaultValue);
    }
}
