package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;

/**
 * One document of a file, with the line number of each value.
 *
 * @param file the file's name
 * @param root the whole document
 * @param lines line numbers by {@link DocumentPath}, starting at 1
 */
record Document(String file, JsonNode root, Map<String, Integer> lines) {
    /** Returns the line of a path, or of its nearest ancestor that exists. */
    int line(String path) {
        String ancestor = path;
        while (!ancestor.isEmpty()) {
            Integer line = lines.get(ancestor);
            if (line != null) {
                return line;
            }
            ancestor = DocumentPath.parent(ancestor);
        }
        return lines.getOrDefault(DocumentPath.ROOT, 1);
    }

    SettingsProblem problem(String path, String found, String expected) {
        return new SettingsProblem(file, line(path), path, found, expected, Optional.empty());
    }

    SettingsProblem problem(String path, String found, String expected, Optional<String> nearest) {
        return new SettingsProblem(file, line(path), path, found, expected, nearest);
    }
}
