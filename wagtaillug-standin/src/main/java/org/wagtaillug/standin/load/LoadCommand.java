package org.wagtaillug.standin.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.wagtaillug.standin.http.Json;

/** The subcommand {@code load}: runs a load file, prints a table and writes the report. */
@Parameters(commandDescription = "Sends the requests of a load file to nodes and reports what came of them")
public final class LoadCommand {
    private static final String PROGRAM = "standin load: ";

    /** How a run ended. */
    public enum End {
        /** It ran and every answer was true. */
        TRUE,
        /** It could not run, or an answer was not true. */
        FAILED,
        /** The load file is wrong. */
        WRONG_FILE
    }

    @Parameter(names = "--help", help = true, description = "Shows this help")
    private boolean help;

    @Parameter(names = "--file", required = true, description = "Load file in YAML")
    private String file;

    @Parameter(names = "--seed", description = "Seed of the arrivals and inputs")
    private long seed = 1;

    @Parameter(names = "--report", description = "File for the report in JSON")
    private String report;

    @Parameter(names = "--plot", description = "File for a plot by second, PNG")
    private String plot;

    @Parameter(
            names = "--started",
            description = "File that is written when sending begins, with that time in Unix milliseconds")
    private String started;

    /** Tells whether only the help is wanted. */
    public boolean help() {
        return help;
    }

    /** Runs the load; what is wrong goes to {@code err}. */
    public End run(PrintStream out, PrintStream err) {
        Either<String, LoadFile> read = LoadFile.read(Path.of(file));
        if (read.isLeft()) {
            err.println(PROGRAM + read.getLeft());
            return End.WRONG_FILE;
        }
        try (LoadRun run = new LoadRun(read.get(), seed, this::noteStart)) {
            Either<String, LoadReport> result = run.run();
            if (result.isLeft()) {
                err.println(PROGRAM + result.getLeft());
                return End.FAILED;
            }
            return finish(result.get(), out, err);
        } catch (Exception failure) {
            err.println(PROGRAM + failure);
            return End.FAILED;
        }
    }

    private void noteStart() {
        if (started == null) {
            return;
        }
        try {
            Files.writeString(Path.of(started), System.currentTimeMillis() + System.lineSeparator());
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }

    private End finish(LoadReport result, PrintStream out, PrintStream err) throws IOException {
        out.print(result.table());
        if (report != null) {
            Files.write(Path.of(report), Json.write(result));
        }
        if (plot != null) {
            LoadPlot.write(result, Path.of(plot).toFile());
        }
        if (result.truth().sum() > 0) {
            err.println(PROGRAM + "answers were not true: " + result.truth());
            return End.FAILED;
        }
        return End.TRUE;
    }
}
