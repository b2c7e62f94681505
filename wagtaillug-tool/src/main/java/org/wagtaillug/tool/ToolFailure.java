package org.wagtaillug.tool;

import java.time.Duration;
import java.util.List;
import org.wagtaillug.settings.SettingsProblem;

/** The reason why a command failed. */
sealed interface ToolFailure {
    /** One or more lines for the operator. */
    String message();

    /** The exit code of the process. */
    default ExitCode exitCode() {
        return ExitCode.FAILED;
    }

    /**
     * The command line is invalid.
     *
     * @param message the input that was found, what was expected and the nearest valid choice
     */
    record Usage(String message) implements ToolFailure {
        @Override
        public ExitCode exitCode() {
            return ExitCode.USAGE;
        }
    }

    /**
     * A file is invalid.
     *
     * @param problems all problems found
     */
    record Invalid(List<SettingsProblem> problems) implements ToolFailure {
        @Override
        public String message() {
            StringBuilder lines = new StringBuilder();
            for (SettingsProblem problem : problems) {
                lines.append(lines.isEmpty() ? "" : "\n").append(problem.message());
            }
            return lines.toString();
        }
    }

    /**
     * No node could be reached, or none could serve the call.
     *
     * @param reasons one reason for each node that was tried
     */
    record Unreachable(List<String> reasons) implements ToolFailure {
        @Override
        public String message() {
            return "no node could serve the call; nothing was changed:\n  " + String.join("\n  ", reasons);
        }
    }

    /**
     * A node refused the call.
     *
     * @param node the base URL of the node
     * @param code the result code, see docs/RESULT-CODES.md; 0 if the response has none
     * @param reason the node's error message
     * @param retryAfter the delay after which to retry; zero if a retry is not recommended
     */
    record Refused(String node, int code, String reason, Duration retryAfter) implements ToolFailure {
        @Override
        public String message() {
            String again = retryAfter.isZero() ? "" : "; retry after " + retryAfter.toMillis() + " ms";
            return "refused by " + node + " with code " + code + ": " + reason + again;
        }
    }

    /**
     * The response of a node does not conform to docs/API.md.
     *
     * @param node the base URL of the node
     * @param detail what is wrong with the response
     */
    record UnexpectedResponse(String node, String detail) implements ToolFailure {
        @Override
        public String message() {
            return "unexpected response from " + node + ": " + detail;
        }
    }

    /**
     * A key, name, file or request given on the command line was not found.
     *
     * @param message what was not found and, if known, the nearest existing name
     */
    record NotFound(String message) implements ToolFailure {}
}
