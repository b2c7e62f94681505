package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The result of a command.
 *
 * @param text the output in text form
 * @param errors the text for the error stream; empty if there are no errors
 * @param json the output in JSON form
 * @param exitCode the exit code of the process
 */
record Result(String text, String errors, JsonNode json, ExitCode exitCode) {
    static Result ok(String text, JsonNode json) {
        return new Result(text, "", json, ExitCode.OK);
    }
}
