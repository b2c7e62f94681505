package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Aggregates the log files of nodes. */
public final class AccountCommand {
    private AccountCommand() {}

    /**
     * Aggregates all files into one report.
     *
     * @return a list of rows for each table, or an error message for a file
     */
    public static Either<String, ObjectNode> of(List<String> names) {
        RequestStatistics statistics = new RequestStatistics();
        LogFileReader reader = new LogFileReader(statistics);
        for (String name : names) {
            long decisionsBefore = statistics.decisions();
            try {
                reader.read(Path.of(name));
            } catch (IOException exception) {
                return Either.left(name + ": cannot be read (" + exception + "); expected a log file of a node");
            }
            if (statistics.decisions() == decisionsBefore) {
                return Either.left(name + ": found no decision; expected the JSON lines of a node's log");
            }
        }
        return Either.right(StatisticsReport.of(statistics, reader));
    }
}
