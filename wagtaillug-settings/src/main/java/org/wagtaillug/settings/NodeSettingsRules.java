package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Validation rules across the fields of a node's settings; they ignore values of the wrong type. */
final class NodeSettingsRules {
    private static final List<String> LISTENERS = List.of("callers", "administration", "link");
    private static final List<String> WILDCARD_ADDRESSES = List.of("0.0.0.0", "::");

    private final Document document;
    private final List<SettingsProblem> problems = new ArrayList<>();

    private NodeSettingsRules(Document document) {
        this.document = document;
    }

    static List<SettingsProblem> check(Document document) {
        NodeSettingsRules rules = new NodeSettingsRules(document);
        rules.checkPorts();
        rules.checkLinkAddress();
        rules.checkTokens();
        rules.checkSeeds();
        return rules.problems;
    }

    private void checkPorts() {
        Map<String, String> listenersByAddress = new HashMap<>();
        for (String listener : LISTENERS) {
            JsonNode port = document.root().path(listener).path("port");
            String address = document.root().path(listener).path("address").asText() + " port " + port.asText();
            String other = listenersByAddress.putIfAbsent(address, listener);
            if (port.isInt() || port.isBigInteger()) {
                if (other != null) {
                    String expected = "a port other than that of " + other;
                    problems.add(document.problem(DocumentPath.field(listener, "port"), port.asText(), expected));
                }
            }
        }
    }

    /** Other nodes connect to this address; with the wildcard address each of them would connect to itself. */
    private void checkLinkAddress() {
        JsonNode address = document.root().path("link").path("address");
        if (WILDCARD_ADDRESSES.contains(address.asText())) {
            problems.add(
                    document.problem("link.address", ValueText.of(address), "the IP address that other nodes reach"));
        }
    }

    private void checkTokens() {
        JsonNode tokens = document.root().path("administration").path("tokens");
        Map<String, Integer> firstIndexes = new HashMap<>();
        for (int index = 0; index < tokens.size(); index++) {
            String token = tokens.path(index).path("token").asText();
            Integer earlier = token.isEmpty() ? null : firstIndexes.putIfAbsent(token, index);
            if (earlier != null) {
                String path = DocumentPath.item("administration.tokens", index) + ".token";
                problems.add(document.problem(path, "the token of tokens[" + earlier + "] again", "another token"));
            }
        }
    }

    private void checkSeeds() {
        JsonNode seeds = document.root().path("seeds");
        Map<String, Integer> firstIndexes = new HashMap<>();
        for (int index = 0; index < seeds.size(); index++) {
            String vm = seeds.path(index).path("vm").asText();
            Integer earlier = vm.isEmpty() ? null : firstIndexes.putIfAbsent(vm, index);
            if (earlier != null) {
                String path = DocumentPath.item("seeds", index) + ".vm";
                problems.add(document.problem(path, ValueText.quoted(vm) + " again", "each VM at most once"));
            }
        }
    }
}
