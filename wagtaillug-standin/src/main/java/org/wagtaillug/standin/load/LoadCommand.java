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

/** The {@code load} subcommand: runs a load file, prints a table and writes the report. */
@Parameters(commandDescription = "Sends the requests of a load file to nodes and reports the outcomes")
public final class LoadCommand {
    private static final String PROGRAM = "standin load: ";

    /** The result of the command. */
    public enum End {
        /** The run completed and no answer was incorrect. */
        TRUE,
        /** The run failed, or an answer was incorrect. */
        FAILED,
        /** The load file is invalid. */
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

    @Parameter(names = "--plot", description = "PNG file for a plot of the outcomes per second")
    private String plot;

    @Parameter(names = "--started", description = "File to write the start time of sending to, in Unix milliseconds")
    private String started;

    /** Returns whether help was requested. */
    public boolean help() {
        return help;
    }

    /** Runs the load; errors are printed to {@code err}. */
    public End run(PrintStream out, PrintStream err) {
        Either<String, LoadFile> read = LoadFile.read(Path.of(file));
        if (read.isLeft()) {
            err.println(PROGRAM + read.getLeft());
            return End.WRONG_FILE;
        }
        try (LoadRun run = new LoadRun(read.get(), seed, this::writeStartTime)) {
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

    private void writeStartTime() {
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
            err.println(PROGRAM + "incorrect answers: " + result.truth());
            return End.FAILED;
        }
        return End.TRUE;
    }
}
