package org.wagtaillug.standin.experiment;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.wagtaillug.standin.http.Json;

/** The {@code summary} subcommand: creates the report and the table of a run from the content of its folder. */
@Parameters(commandDescription = "Creates the report and the table of one run of an experiment")
public final class SummaryCommand {
    @Parameter(names = "--help", help = true, description = "Shows this help")
    private boolean help;

    @Parameter(names = "--dir", required = true, description = "Folder of the run")
    private String folder;

    /** Returns whether help was requested. */
    public boolean help() {
        return help;
    }

    /**
     * Writes the report and prints the table.
     *
     * @return nothing, or an error message if the folder is invalid
     * @throws IOException if the report cannot be written
     */
    public Either<String, Void> run(PrintStream out) throws IOException {
        Path path = Path.of(folder);
        Either<String, RunFolder> read = RunFolder.read(path);
        if (read.isLeft()) {
            return Either.left(read.getLeft());
        }
        RunReport report = Summary.of(read.get());
        Files.write(path.resolve(RunReport.FILE), Json.write(report));
        out.print(report.table());
        return Either.right(null);
    }
}
