package org.wagtaillug.tool;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.MissingCommandException;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.settings.NearestName;

/** Reads the arguments. Long names of options may be cut short as long as they stay unmistakable. */
final class CommandLine {
    static final String PROGRAM = "wagtaillugctl";

    private final ConnectionOptions connection = new ConnectionOptions();
    private final GlobalOptions global = new GlobalOptions(connection);
    private final Map<String, Command> commands = new LinkedHashMap<>();
    private final JCommander parser;

    CommandLine() {
        JCommander.Builder builder =
                JCommander.newBuilder().programName(PROGRAM).addObject(global);
        for (Command command : all()) {
            commands.put(command.name(), command);
            builder.addCommand(command.name(), new Object[] {command, connection});
        }
        parser = builder.build();
        parser.setAllowAbbreviatedOptions(true);
        parser.setExpandAtSign(false);
        for (JCommander command : parser.getCommands().values()) {
            command.setAllowAbbreviatedOptions(true);
            command.setExpandAtSign(false);
        }
    }

    /** The options that stand before a command. */
    private static final class GlobalOptions {
        @ParametersDelegate
        private final ConnectionOptions connection;

        @Parameter(names = "--version", description = "Shows the version")
        private boolean version;

        GlobalOptions(ConnectionOptions connection) {
            this.connection = connection;
        }
    }

    private static List<Command> all() {
        return List.of(
                new Command.Publish(),
                new Command.Validate(),
                new Command.Diff(),
                new Command.Show(),
                new Command.Remove(),
                new Command.Domain(),
                new Command.Vm(),
                new Command.Nodes(),
                new Command.Upstreams(),
                new Command.Ownership(),
                new Command.Requests(),
                new Command.Why(),
                new Command.Config(),
                new Command.Completion());
    }

    /** What the arguments ask for. */
    sealed interface Wish {
        /**
         * How to use the tool or a command.
         *
         * @param text what to print
         */
        record Help(String text) implements Wish {}

        /** Which version this is. */
        record Version() implements Wish {}

        /**
         * To do something.
         *
         * @param command what
         * @param connection where
         */
        record Run(Command command, ConnectionOptions connection) implements Wish {}
    }

    Either<ToolFailure, Wish> parse(String[] arguments) {
        try {
            parser.parse(arguments);
        } catch (MissingCommandException fault) {
            return Either.left(unknownCommand(fault.getUnknownCommand()));
        } catch (ParameterException fault) {
            return Either.left(usage(fault.getMessage()));
        }
        String name = parser.getParsedCommand();
        if (connection.help()) {
            return Either.right(new Wish.Help(help(Optional.ofNullable(name))));
        }
        if (global.version) {
            return Either.right(new Wish.Version());
        }
        if (name == null) {
            return Either.left(usage("found no command; expected one of " + String.join(", ", commands.keySet())));
        }
        if (!List.of("text", "json").contains(connection.output())) {
            return Either.left(usage("--output: found \"" + connection.output() + "\"; expected text or json"));
        }
        return Either.right(new Wish.Run(commands.get(name), connection));
    }

    private ToolFailure unknownCommand(String found) {
        String expected =
                "found the command \"" + found + "\"; expected one of " + String.join(", ", commands.keySet());
        Optional<String> nearest = NearestName.of(found, commands.keySet());
        return usage(expected
                + nearest.map(name -> "; did you mean \"" + name + "\"?").orElse(""));
    }

    static ToolFailure usage(String message) {
        return new ToolFailure.Usage(message + "\nTry " + PROGRAM + " --help");
    }

    private String help(Optional<String> command) {
        StringBuilder text = new StringBuilder();
        if (command.isPresent()) {
            parser.getUsageFormatter().usage(command.get(), text);
        } else {
            parser.getUsageFormatter().usage(text);
        }
        return text.toString().stripTrailing();
    }

    /** The long options of each command, for completion. */
    Map<String, List<String>> optionsByCommand() {
        Map<String, List<String>> options = new LinkedHashMap<>();
        for (Map.Entry<String, JCommander> command : parser.getCommands().entrySet()) {
            List<String> names = new ArrayList<>();
            for (ParameterDescription parameter : command.getValue().getParameters()) {
                names.add(parameter.getLongestName());
            }
            names.sort(null);
            options.put(command.getKey(), names);
        }
        return options;
    }
}
