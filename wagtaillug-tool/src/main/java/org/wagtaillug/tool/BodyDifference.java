package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares two bodies field by field. */
final class BodyDifference {
    private BodyDifference() {}

    /**
     * One field that differs.
     *
     * @param path which, for example {@code stages[2].timeout}
     * @param before its value in force; empty if it has none
     * @param after its value in the file; empty if it has none
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
        Map<String, String> old = new TreeMap<>();
        Map<String, String> fresh = new TreeMap<>();
        collect("", before, old);
        collect("", after, fresh);
        TreeSet<String> paths = new TreeSet<>(old.keySet());
        paths.addAll(fresh.keySet());
        List<Line> lines = new ArrayList<>();
        for (String path : paths) {
            if (!Objects.equals(old.get(path), fresh.get(path))) {
                lines.add(new Line(path, old.getOrDefault(path, ""), fresh.getOrDefault(path, "")));
            }
        }
        return lines;
    }

    private static void collect(String path, JsonNode value, Map<String, String> values) {
        if (value.isObject()) {
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                collect(path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), values);
            }
            return;
        }
        if (value.isArray()) {
            for (int index = 0; index < value.size(); index++) {
                collect(path + "[" + index + "]", value.path(index), values);
            }
            return;
        }
        values.put(path, value.isTextual() ? value.textValue() : value.toString());
    }
}
