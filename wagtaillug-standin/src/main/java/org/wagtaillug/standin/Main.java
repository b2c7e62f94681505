package org.wagtaillug.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.wagtaillug.logging.LogSetup;
import org.wagtaillug.standin.experiment.CompareCommand;
import org.wagtaillug.standin.experiment.PlanCommand;
import org.wagtaillug.standin.experiment.SummaryCommand;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.load.LoadCommand;
import org.wagtaillug.standin.options.CommonOptions;
import org.wagtaillug.standin.options.EngineOptions;
import org.wagtaillug.standin.options.LogOptions;
import org.wagtaillug.standin.options.NearestName;
import org.wagtaillug.standin.options.ServiceOptions;
import org.wagtaillug.standin.options.StageOptions;
import org.wagtaillug.standin.options.VmsOptions;
import org.wagtaillug.standin.options.WeightsOptions;

/**
 * Entry point of the {@code standin} program. A stand-in command prints one JSON line to standard output once all ports are
 * listening and runs until the process is terminated. Exit codes: 0 success, 1 failure, 2 invalid usage.
 */
public final class Main {
    /** The command succeeded. */
    static final int OK = 0;
    /** The command failed, for example because of an I/O error. */
    static final int SOFTWARE = 1;
    /** The command line or an input file is invalid. */
    static final int USAGE = 2;

    private static final String PROGRAM = "standin";
    private static final String ALL = "all";
    private static final String LOAD = "load";
    private static final String PLAN = "plan";
    private static final String SUMMARY = "summary";
    private static final String COMPARE = "compare";

    private static final class GlobalOptions {
        @Parameter(names = "--help", help = true, description = "Shows this help")
        private boolean help;
    }

    @Parameters(commandDescription = "All stand-ins of a layout in one process")
    private static final class AllOptions {
        @Parameter(names = "--help", help = true, description = "Shows this help")
        private boolean help;

        @Parameter(names = "--layout", required = true, description = "Layout file in YAML")
        private String layout;
    }

    private final PrintStream out;
    private final PrintStream err;
    private final GlobalOptions global = new GlobalOptions();
    private final AllOptions all = new AllOptions();
    private final LoadCommand load = new LoadCommand();
    private final PlanCommand plan = new PlanCommand();
    private final SummaryCommand summary = new SummaryCommand();
    private final CompareCommand compare = new CompareCommand();
    private final Map<StandInKind, CommonOptions> options = new EnumMap<>(StandInKind.class);
    private final JCommander commander;

    Main(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
        options.put(StandInKind.LOG, new LogOptions());
        options.put(StandInKind.VMS, new VmsOptions());
        options.put(StandInKind.ENGINE, new EngineOptions());
        options.put(StandInKind.STAGE, new StageOptions());
        options.put(StandInKind.SERVICE, new ServiceOptions());
        options.put(StandInKind.WEIGHTS, new WeightsOptions());
        commander =
                JCommander.newBuilder().programName(PROGRAM).addObject(global).build();
        options.forEach((kind, object) -> commander.addCommand(kind.optionName(), object));
        commander.addCommand(ALL, all);
        commander.addCommand(LOAD, load);
        commander.addCommand(PLAN, plan);
        commander.addCommand(SUMMARY, summary);
        commander.addCommand(COMPARE, compare);
    }

    /** Runs the program and ends the process with its exit code. */
    public static void main(String[] arguments) {
        LogSetup.jsonLines(System.err, System.Logger.Level.INFO);
        System.exit(new Main(System.out, System.err).run(arguments));
    }

    /** Runs the command and returns its exit code; a stand-in command returns when the process is terminated. */
    int run(String... arguments) {
        try {
            rejectUnknownNames(arguments);
            commander.parse(arguments);
        } catch (ParameterException invalid) {
            return usage(invalid.getMessage());
        }
        String command = commander.getParsedCommand();
        if (global.help) {
            return help(commander);
        }
        if (command == null) {
            return usage("command: missing, expected one of " + String.join(", ", commands()));
        }
        if (command.equals(ALL)) {
            return runAll();
        }
        if (command.equals(LOAD)) {
            return runLoad();
        }
        if (List.of(PLAN, SUMMARY, COMPARE).contains(command)) {
            return runExperimentStep(command);
        }
        return runStandIn(command);
    }

    private int runStandIn(String command) {
        StandInKind kind = StandInKind.of(command);
        CommonOptions selected = options.get(kind);
        if (selected.help()) {
            return help(commander.getCommands().get(command));
        }
        if (!selected.problems().isEmpty()) {
            return usage("--" + String.join("; --", selected.problems()));
        }
        return serve(() -> StandInProcess.start(kind, selected));
    }

    private int runAll() {
        if (all.help) {
            return help(commander.getCommands().get(ALL));
        }
        Either<String, Layout> layout = Layout.read(Path.of(all.layout));
        if (layout.isLeft()) {
            return usage(layout.getLeft());
        }
        return serve(() -> StandInProcess.start(layout.get()));
    }

    private int runLoad() {
        if (load.help()) {
            return help(commander.getCommands().get(LOAD));
        }
        return switch (load.run(out, err)) {
            case TRUE -> OK;
            case FAILED -> SOFTWARE;
            case WRONG_FILE -> USAGE;
        };
    }

    private int runExperimentStep(String command) {
        boolean helpRequested =
                switch (command) {
                    case PLAN -> plan.help();
                    case SUMMARY -> summary.help();
                    default -> compare.help();
                };
        if (helpRequested) {
            return help(commander.getCommands().get(command));
        }
        try {
            Either<String, Void> result =
                    switch (command) {
                        case PLAN -> plan.run(out);
                        case SUMMARY -> summary.run(out);
                        default -> compare.run(out);
                    };
            return result.isRight() ? OK : usage(result.getLeft());
        } catch (IOException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return SOFTWARE;
        }
    }

    private interface ProcessStarter {
        StandInProcess start() throws IOException;
    }

    private int serve(ProcessStarter starter) {
        CountDownLatch terminated = new CountDownLatch(1);
        try (StandInProcess process = starter.start()) {
            Runtime.getRuntime().addShutdownHook(new Thread(terminated::countDown, "standin-end"));
            out.println(Json.text(process.listening()));
            out.flush();
            terminated.await();
            return OK;
        } catch (IOException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return SOFTWARE;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return SOFTWARE;
        }
    }

    /** Rejects unknown names before JCommander does: it reports them as unexpected main parameters, without valid names. */
    private void rejectUnknownNames(String... arguments) {
        if (arguments.length == 0 || arguments[0].startsWith("--")) {
            return;
        }
        JCommander command = commander.getCommands().get(arguments[0]);
        if (command == null) {
            throw new ParameterException(
                    "command: found '" + arguments[0] + "', " + NearestName.expected(arguments[0], commands()));
        }
        List<String> names = new ArrayList<>();
        for (ParameterDescription parameter : command.getParameters()) {
            names.add(parameter.getLongestName());
        }
        for (int index = 1; index < arguments.length; index++) {
            String name = arguments[index];
            if (name.startsWith("--") && !names.contains(name)) {
                throw new ParameterException("option: found '" + name + "', " + NearestName.expected(name, names)
                        + " (in " + arguments[0] + ")");
            }
        }
    }

    private List<String> commands() {
        return List.copyOf(commander.getCommands().keySet());
    }

    private int help(JCommander subject) {
        StringBuilder text = new StringBuilder();
        subject.getUsageFormatter().usage(text);
        out.print(text);
        return OK;
    }

    private int usage(String problem) {
        err.println(PROGRAM + ": " + problem);
        err.println("Try '" + PROGRAM + " --help'.");
        return USAGE;
    }
}
