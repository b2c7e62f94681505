package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;

/**
 * One document of a file, with the line of each of its places.
 *
 * @param file the file's name
 * @param root the whole document
 * @param lines by {@link DocumentPath}, from 1
 */
record Document(String file, JsonNode root, Map<String, Integer> lines) {
    /** The line of a place, or of the nearest place around it when nothing stands there. */
    int line(String path) {
        String place = path;
        while (!place.isEmpty()) {
            Integer line = lines.get(place);
            if (line != null) {
                return line;
            }
            place = DocumentPath.parent(place);
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
