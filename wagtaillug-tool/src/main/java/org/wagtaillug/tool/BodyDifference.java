package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares two JSON bodies field by field. */
final class BodyDifference {
    private BodyDifference() {}

    /**
     * One field that differs.
     *
     * @param path the path of the field, for example {@code stages[2].timeout}
     * @param before the value in force; empty if the field is absent
     * @param after the value in the file; empty if the field is absent
     */
    record Line(String path, String before, String after) {
        @Override
        public String toString() {
            if (before.isEmpty()) {
                return "+ " + path + ": " + after;
            }
            if (after.isEmpty()) {
                return "- " + path + ": " + before;
            }
            return "~ " + path + ": " + before + " -> " + after;
        }
    }

    static List<Line> between(JsonNode before, JsonNode after) {
        Map<String, String> original = new TreeMap<>();
        Map<String, String> updated = new TreeMap<>();
        flatten("", before, original);
        flatten("", after, updated);
        TreeSet<String> paths = new TreeSet<>(original.keySet());
        paths.addAll(updated.keySet());
        List<Line> lines = new ArrayList<>();
        for (String path : paths) {
            if (!Objects.equals(original.get(path), updated.get(path))) {
                lines.add(new Line(path, original.getOrDefault(path, ""), updated.getOrDefault(path, "")));
            }
        }
        return lines;
    }

    private static void flatten(String path, JsonNode value, Map<String, String> values) {
        if (value.isObject()) {
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                flatten(path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), values);
            }
            return;
        }
        if (value.isArray()) {
            for (int index = 0; index < value.size(); index++) {
                flatten(path + "[" + index + "]", value.path(index), values);
            }
            return;
        }
        values.put(path, value.isTextual() ? value.textValue() : value.toString());
    }
}
