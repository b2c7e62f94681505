package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.contract.Body;
import org.wagtaillug.settings.Contracts;
import org.wagtaillug.tool.AdministrationClient.Exchange;

/**
 * The configuration as one node shows it.
 *
 * @param through the offset up to which the node has read
 * @param digest of all of it
 * @param entries by key, removed ones included
 */
record ConfigurationView(long through, String digest, Map<String, Entry> entries) {
    static final String PATH = "/admin/configuration";

    private static final String REMOVED = "removed";

    /**
     * One key.
     *
     * @param version the offset of the change that won last
     * @param body its JSON form; kept as it came, as the node may know kinds that this tool does not
     */
    record Entry(long version, JsonNode body) {
        boolean removed() {
            return body.path("kind").asText().equals(REMOVED);
        }

        boolean holds(Body other) {
            return Contracts.fromJson(body.toString()).map(other::equals).getOrElse(false);
        }
    }

    static Either<ToolFailure, ConfigurationView> read(AdministrationClient client) {
        return client.get(PATH).map(ConfigurationView::of);
    }

    /** What one certain node has in force; empty if it does not answer. */
    static Optional<ConfigurationView> read(AdministrationClient client, String node) {
        if (client.get(node, PATH) instanceof Exchange.Answered answered
                && answered.status() == AdministrationClient.OK) {
            return Optional.of(of(answered.body()));
        }
        return Optional.empty();
    }

    private static ConfigurationView of(JsonNode answer) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        for (JsonNode entry : answer.path("entries")) {
            entries.put(
                    entry.path("key").asText(), new Entry(entry.path("version").asLong(), entry.path("body")));
        }
        return new ConfigurationView(
                answer.path("through").asLong(), answer.path("digest").asText(), entries);
    }

    Optional<Entry> entry(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** The version of a key; 0 if it never was. */
    long version(String key) {
        return entry(key).map(Entry::version).orElse(0L);
    }
}
