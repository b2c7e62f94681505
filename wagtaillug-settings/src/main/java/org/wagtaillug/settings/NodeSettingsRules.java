package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The rules between the fields of a node's settings; they pass over values of the wrong type. */
final class NodeSettingsRules {
    private static final List<String> LISTENERS = List.of("callers", "administration", "link");
    private static final List<String> ALL_INTERFACES = List.of("0.0.0.0", "::");

    private final Document document;
    private final List<SettingsProblem> problems = new ArrayList<>();

    private NodeSettingsRules(Document document) {
        this.document = document;
    }

    static List<SettingsProblem> check(Document document) {
        NodeSettingsRules rules = new NodeSettingsRules(document);
        rules.ports();
        rules.linkAddress();
        rules.tokens();
        rules.seeds();
        return rules.problems;
    }

    private void ports() {
        Map<String, String> takenBy = new HashMap<>();
        for (String listener : LISTENERS) {
            JsonNode port = document.root().path(listener).path("port");
            String address = document.root().path(listener).path("address").asText() + " port " + port.asText();
            String other = takenBy.putIfAbsent(address, listener);
            if (port.isInt() || port.isBigInteger()) {
                if (other != null) {
                    String expected = "another port than that of " + other;
                    problems.add(document.problem(DocumentPath.field(listener, "port"), port.asText(), expected));
                }
            }
        }
    }

    /** Other nodes are told this address; that of all interfaces would send each of them to itself. */
    private void linkAddress() {
        JsonNode address = document.root().path("link").path("address");
        if (ALL_INTERFACES.contains(address.asText())) {
            problems.add(document.problem("link.address", Found.of(address), "the IP number that other nodes reach"));
        }
    }

    private void tokens() {
        JsonNode tokens = document.root().path("administration").path("tokens");
        Map<String, Integer> first = new HashMap<>();
        for (int index = 0; index < tokens.size(); index++) {
            String token = tokens.path(index).path("token").asText();
            Integer earlier = token.isEmpty() ? null : first.putIfAbsent(token, index);
            if (earlier != null) {
                String path = DocumentPath.item("administration.tokens", index) + ".token";
                problems.add(document.problem(path, "the token of tokens[" + earlier + "] again", "another token"));
            }
        }
    }

    private void seeds() {
        JsonNode seeds = document.root().path("seeds");
        Map<String, Integer> first = new HashMap<>();
        for (int index = 0; index < seeds.size(); index++) {
            String vm = seeds.path(index).path("vm").asText();
            Integer earlier = vm.isEmpty() ? null : first.putIfAbsent(vm, index);
            if (earlier != null) {
                String path = DocumentPath.item("seeds", index) + ".vm";
                problems.add(document.problem(path, Found.quoted(vm) + " again", "each VM once"));
            }
        }
    }
}
