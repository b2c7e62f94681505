package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a command has to show.
 *
 * @param text for people
 * @param errors for people, on the error stream; empty if there is nothing to say
 * @param json the same for programs
 * @param exitCode what the process ends with
 */
record Result(String text, String errors, JsonNode json, ExitCode exitCode) {
    static Result ok(String text, JsonNode json) {
        return new Result(text, "", json, ExitCode.OK);
    }
}
