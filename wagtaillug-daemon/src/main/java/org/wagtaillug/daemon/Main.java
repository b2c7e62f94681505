package org.wagtaillug.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.wagtaillug.logging.LogSetup;
import org.wagtaillug.settings.NodeSettings;
import org.wagtaillug.settings.SettingsProblem;

/**
 * Starts an entry node from its settings file. Exit codes: 0 after an orderly shutdown, 1 for a failure, 2 for wrong
 * usage.
 */
public final class Main {
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--settings", description = "The node's settings file; docs/SETTINGS.md lists the fields")
    private String settings;

    @Parameter(names = "--help", description = "Prints this", help = true)
    private boolean help;

    @Parameter(names = "--version", description = "Prints the version")
    private boolean version;

    private Main() {}

    /** Runs until the process is asked to exit. */
    public static void main(String[] arguments) throws Exception {
        Main main = new Main();
        JCommander parser = JCommander.newBuilder()
                .addObject(main)
                .programName("wagtaillugd")
                .build();
        try {
            parser.parse(arguments);
        } catch (ParameterException invalid) {
            System.err.println("wagtaillugd: " + invalid.getMessage() + "; see wagtaillugd --help");
            System.exit(EXIT_USAGE);
        }
        if (main.help) {
            parser.usage();
            return;
        }
        if (main.version) {
            System.out.println("wagtaillugd " + version());
            return;
        }
        System.exit(main.run());
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "0.1.0" : version;
    }

    private int run() {
        if (settings == null) {
            System.err.println("wagtaillugd: --settings is missing; expected a settings file, for example"
                    + " examples/ramdin/node-1.yaml");
            return EXIT_USAGE;
        }
        Either<List<SettingsProblem>, NodeSettings> read = NodeSettings.load(Path.of(settings));
        if (read.isLeft()) {
            read.getLeft().forEach(System.err::println);
            return EXIT_USAGE;
        }
        LogSetup.jsonLines(System.out, read.get().log().level());
        return ProcessRun.serve("wagtaillugd", new Daemon(read.get()));
    }
}
