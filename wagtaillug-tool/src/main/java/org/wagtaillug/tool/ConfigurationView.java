package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.contract.Body;
import org.wagtaillug.settings.Contracts;
import org.wagtaillug.tool.AdministrationClient.CallResult;

/**
 * The configuration as reported by one node.
 *
 * @param offset the offset up to which the node has read the control stream
 * @param digest the digest of the whole configuration
 * @param entries the entries by key, including removed ones
 */
record ConfigurationView(long offset, String digest, Map<String, Entry> entries) {
    static final String PATH = "/admin/configuration";

    private static final String REMOVED = "removed";

    /**
     * The entry of one key.
     *
     * @param version the offset of the last accepted change
     * @param body the body as received, because the node may know kinds that this tool does not
     */
    record Entry(long version, JsonNode body) {
        boolean removed() {
            return body.path("kind").asText().equals(REMOVED);
        }

        boolean hasBody(Body other) {
            return Contracts.fromJson(body.toString()).map(other::equals).getOrElse(false);
        }
    }

    static Either<ToolFailure, ConfigurationView> read(AdministrationClient client) {
        return client.get(PATH).map(ConfigurationView::parse);
    }

    /** The configuration in force at the given node; empty if the node does not respond successfully. */
    static Optional<ConfigurationView> read(AdministrationClient client, String node) {
        if (client.get(node, PATH) instanceof CallResult.Response response
                && response.status() == AdministrationClient.OK) {
            return Optional.of(parse(response.body()));
        }
        return Optional.empty();
    }

    private static ConfigurationView parse(JsonNode response) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        for (JsonNode entry : response.path("entries")) {
            entries.put(
                    entry.path("key").asText(), new Entry(entry.path("version").asLong(), entry.path("body")));
        }
        return new ConfigurationView(
                response.path("through").asLong(), response.path("digest").asText(), entries);
    }

    Optional<Entry> entry(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** The version of a key; 0 if the key never existed. */
    long version(String key) {
        return entry(key).map(Entry::version).orElse(0L);
    }
}
