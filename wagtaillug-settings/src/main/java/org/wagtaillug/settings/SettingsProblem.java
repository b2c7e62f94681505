package org.wagtaillug.settings;

import java.util.Optional;

/**
 * One fault of a file. Prints as
 *
 * <pre>{@code
 * ramdin.yaml:12: stages[2].wrok: found "wrok"; expected one of id, pool, work; did you mean "work"?
 * }</pre>
 *
 * @param file the file's name as the reader was given it
 * @param line the line in the file, from 1
 * @param path where in the document, for example {@code stages[2].work}; empty for the document itself
 * @param found what stands there
 * @param expected what should stand there
 * @param nearest the valid choice that resembles what was found most; empty if none does
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
