package org.wagtaillug.settings;

import java.util.Optional;

/**
 * One problem of a settings file. Its text is, for example
 *
 * <pre>{@code
 * ramdin.yaml:12: stages[2].wrok: found "wrok"; expected one of id, pool, work; did you mean "work"?
 * }</pre>
 *
 * @param file the file's name as given to the reader
 * @param line the line in the file, starting at 1
 * @param path the path in the document, for example {@code stages[2].work}; empty for the document itself
 * @param found description of the invalid value
 * @param expected description of the valid values
 * @param nearest the valid choice most similar to the invalid value; empty if none is similar
 */
public record SettingsProblem(
        String file, int line, String path, String found, String expected, Optional<String> nearest) {
    /** The problem as one line of text. */
    public String message() {
        StringBuilder text = new StringBuilder();
        text.append(file).append(':').append(line).append(": ");
        if (!path.isEmpty()) {
            text.append(path).append(": ");
        }
        text.append("found ").append(found).append("; expected ").append(expected);
        nearest.ifPresent(name -> text.append("; did you mean \"").append(name).append("\"?"));
        return text.toString();
    }

    @Override
    public String toString() {
        return message();
    }
}
