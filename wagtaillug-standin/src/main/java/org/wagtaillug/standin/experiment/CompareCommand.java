package org.wagtaillug.standin.experiment;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The {@code compare} subcommand: prints the figures of several runs by policy, with mean and range. */
@Parameters(commandDescription = "Compares the figures of several runs by policy")
public final class CompareCommand {
    @Parameter(names = "--help", help = true, description = "Shows this help")
    private boolean help;

    @Parameter(names = "--dir", required = true, description = "Folder of a run; repeat the option for each run")
    private List<String> folders = new ArrayList<>();

    /** Returns whether help was requested. */
    public boolean help() {
        return help;
    }

    /**
     * Prints the table.
     *
     * @return nothing, or an error message if a run has no report
     */
    public Either<String, Void> run(PrintStream out) {
        Map<String, Map<String, Spread>> rows = new LinkedHashMap<>();
        List<String> policies = new ArrayList<>();
        for (String folder : folders) {
            Either<String, RunReport> report = report(Path.of(folder));
            if (report.isLeft()) {
                return Either.left(report.getLeft());
            }
            String policy = report.get().run().policy();
            if (!policies.contains(policy)) {
                policies.add(policy);
            }
            for (RunReport.Figure figure : report.get().figures()) {
                rows.computeIfAbsent(figure.name(), unused -> new LinkedHashMap<>())
                        .merge(policy, Spread.of(figure.value()), Spread::and);
            }
        }
        out.print(table(rows, policies));
        return Either.right(null);
    }

    /** The mean, minimum and maximum of a figure over several runs. */
    record Spread(int runs, double sum, double least, double most) {
        static Spread of(double value) {
            return new Spread(1, value, value, value);
        }

        Spread and(Spread other) {
            return new Spread(
                    runs + other.runs, sum + other.sum, Math.min(least, other.least), Math.max(most, other.most));
        }

        String text() {
            return "%.2f (%.2f to %.2f, %d)".formatted(sum / runs, least, most, runs);
        }
    }

    private static Either<String, RunReport> report(Path folder) {
        Path file = folder.resolve(RunReport.FILE);
        try {
            return RunFolder.json(file, RunReport.class);
        } catch (IOException missing) {
            return Either.left(file + ": cannot be read, expected the report of a completed run");
        }
    }

    static String table(Map<String, Map<String, Spread>> rows, List<String> policies) {
        StringBuilder table = new StringBuilder("%-38s".formatted("mean (least to most, runs)"));
        policies.forEach(policy -> table.append(" %38s".formatted(policy)));
        table.append(System.lineSeparator());
        rows.forEach((name, byPolicy) -> {
            table.append("%-38s".formatted(name));
            for (String policy : policies) {
                Spread spread = byPolicy.get(policy);
                table.append(" %38s".formatted(spread == null ? "" : spread.text()));
            }
            table.append(System.lineSeparator());
        });
        return table.toString();
    }
}
