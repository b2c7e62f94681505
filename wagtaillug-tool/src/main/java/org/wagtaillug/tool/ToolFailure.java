package org.wagtaillug.tool;

import java.time.Duration;
import java.util.List;
import org.wagtaillug.settings.SettingsProblem;

/** Why a command did not do what it was asked to. */
sealed interface ToolFailure {
    /** One or more lines for the operator. */
    String message();

    /** What the process ends with. */
    default ExitCode exitCode() {
        return ExitCode.FAILED;
    }

    /**
     * The command line is wrong.
     *
     * @param message names the input, what was expected and the nearest valid choice
     */
    record Usage(String message) implements ToolFailure {
        @Override
        public ExitCode exitCode() {
            return ExitCode.USAGE;
        }
    }

    /**
     * A file has faults.
     *
     * @param problems all of them
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
     * No node answered, or each said that it cannot serve.
     *
     * @param reasons one for each node that was tried
     */
    record Unreachable(List<String> reasons) implements ToolFailure {
        @Override
        public String message() {
            return "no node could serve the call, and nothing was changed:\n  " + String.join("\n  ", reasons);
        }
    }

    /**
     * A node refused.
     *
     * @param node which
     * @param code the result code, see docs/RESULT-CODES.md; 0 if the answer names none
     * @param reason its words
     * @param retryAfter when it is worth coming back; zero when it is not
     */
    record Refused(String node, int code, String reason, Duration retryAfter) implements ToolFailure {
        @Override
        public String message() {
            String again = retryAfter.isZero() ? "" : "; come back in " + retryAfter.toMillis() + " ms";
            return "refused by " + node + " with code " + code + ": " + reason + again;
        }
    }

    /**
     * A node's answer is not what docs/API.md says.
     *
     * @param node which
     * @param detail what is wrong with it
     */
    record Faulty(String node, String detail) implements ToolFailure {
        @Override
        public String message() {
            return "the answer of " + node + " is not understood: " + detail;
        }
    }

    /**
     * Something that was named does not exist.
     *
     * @param message names it and the nearest that does
     */
    record NotFound(String message) implements ToolFailure {}
}
