package org.wagtaillug.tool;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.MissingCommandException;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wagtaillug.settings.NearestName;

/** Parses the command line. Long option names may be abbreviated as long as they are unambiguous. */
final class CommandLine {
    static final String PROGRAM = "wagtaillugctl";

    private static final String VERSION = "--version";
    private static final int COLUMN_GAP = 2;

    private final ConnectionOptions connection = new ConnectionOptions();
    private final GlobalOptions global = new GlobalOptions(connection);
    private final Map<String, Command> commands = new LinkedHashMap<>();
    private final JCommander parser;

    CommandLine() {
        JCommander.Builder builder =
                JCommander.newBuilder().programName(PROGRAM).addObject(global);
        for (Command command : allCommands()) {
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

    /** The options that are accepted before the command. */
    @Parameters(separators = "=")
    private static final class GlobalOptions {
        @ParametersDelegate
        private final ConnectionOptions connection;

        @Parameter(names = VERSION, description = "Show the version")
        private boolean version;

        GlobalOptions(ConnectionOptions connection) {
            this.connection = connection;
        }
    }

    private static List<Command> allCommands() {
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
                new Command.Account(),
                new Command.Completion());
    }

    /** The action requested by the arguments. */
    sealed interface Invocation {
        /**
         * Prints the help for the tool or a command.
         *
         * @param text the help text
         */
        record Help(String text) implements Invocation {}

        /** Prints the version. */
        record Version() implements Invocation {}

        /**
         * Runs a command.
         *
         * @param command the command
         * @param connection the options for the connection to the nodes
         */
        record Run(Command command, ConnectionOptions connection) implements Invocation {}
    }

    Either<ToolFailure, Invocation> parse(String[] arguments) {
        Optional<ToolFailure> unknownOption = findUnknownOption(arguments);
        if (unknownOption.isPresent()) {
            return Either.left(unknownOption.get());
        }
        try {
            parser.parse(arguments);
        } catch (MissingCommandException exception) {
            return Either.left(unknownCommandFailure(exception.getUnknownCommand()));
        } catch (ParameterException exception) {
            return Either.left(usage(exception.getMessage()));
        }
        String name = parser.getParsedCommand();
        if (connection.help()) {
            return Either.right(new Invocation.Help(help(Optional.ofNullable(name))));
        }
        if (global.version) {
            return Either.right(new Invocation.Version());
        }
        if (name == null) {
            return Either.left(usage("found no command; expected one of " + String.join(", ", commands.keySet())));
        }
        if (!List.of("text", "json").contains(connection.output())) {
            return Either.left(usage("--output: found \"" + connection.output() + "\"; expected text or json"));
        }
        Optional<String> missing = missingArgument(parser.getCommands().get(name));
        if (missing.isPresent()) {
            return Either.left(usage(name + ": found no argument; expected " + missing.get()));
        }
        return Either.right(new Invocation.Run(commands.get(name), connection));
    }

    /** The description of the required argument that is missing; descriptions of optional arguments start with a bracket. */
    private static Optional<String> missingArgument(JCommander command) {
        ParameterDescription main = command.getMainParameterValue();
        if (main == null || main.getDescription().startsWith("[")) {
            return Optional.empty();
        }
        List<?> given = (List<?>) main.getParameterized().get(main.getObject());
        return given.isEmpty() ? Optional.of(main.getDescription()) : Optional.empty();
    }

    /**
     * Finds a mistyped option before the arguments are parsed: a command that takes a list of files would treat the option
     * as a file.
     */
    private Optional<ToolFailure> findUnknownOption(String[] arguments) {
        Map<String, Boolean> takesValue = takesValue();
        boolean expectsValue = false;
        for (String argument : arguments) {
            if (expectsValue || !argument.startsWith("-")) {
                expectsValue = false;
                continue;
            }
            String name = argument.contains("=") ? argument.substring(0, argument.indexOf('=')) : argument;
            Optional<String> option = takesValue.keySet().stream()
                    .filter(known -> name.startsWith("--") && known.startsWith(name))
                    .findFirst();
            if (option.isEmpty()) {
                return Optional.of(unknownOptionFailure(name, takesValue.keySet()));
            }
            expectsValue = takesValue.get(option.get()) && !argument.contains("=");
        }
        return Optional.empty();
    }

    private static ToolFailure unknownOptionFailure(String name, Set<String> known) {
        String expected = "found the option \"" + name + "\"; expected one of " + String.join(", ", known);
        Optional<String> nearest = NearestName.of(name, known);
        return usage(expected
                + nearest.map(option -> "; did you mean \"" + option + "\"?").orElse(""));
    }

    /** All options, each with whether it takes a value. */
    private Map<String, Boolean> takesValue() {
        Map<String, Boolean> options = new TreeMap<>();
        options.put(VERSION, false);
        for (JCommander command : parser.getCommands().values()) {
            for (ParameterDescription parameter : command.getParameters()) {
                boolean flag = parameter.getParameterized().getType() == boolean.class;
                options.put(parameter.getLongestName(), !flag);
            }
        }
        return options;
    }

    private ToolFailure unknownCommandFailure(String found) {
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
        if (command.isEmpty()) {
            return generalHelp();
        }
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(command.get(), text);
        return text.toString().stripTrailing();
    }

    private String generalHelp() {
        StringBuilder text = new StringBuilder();
        text.append("Usage: ").append(PROGRAM).append(" [options] COMMAND [arguments]\n\nCommands:\n");
        int width = commands.keySet().stream().mapToInt(String::length).max().orElse(0);
        for (String name : commands.keySet()) {
            String padding = " ".repeat(width - name.length() + COLUMN_GAP);
            String description = parser.getUsageFormatter().getCommandDescription(name);
            text.append("  ").append(name).append(padding).append(description).append('\n');
        }
        text.append("\nOptions, before or after the command:\n");
        for (ParameterDescription option : parser.getParameters()) {
            text.append("  ").append(option.getLongestName()).append("\n      ");
            text.append(option.getDescription()).append('\n');
        }
        text.append("\nExit codes: 0 success; 1 failure, refusal or unknown outcome; 2 invalid usage.\n");
        text.append("Help for a command: ").append(PROGRAM).append(" COMMAND --help");
        return text.toString();
    }

    /** The long options of each command, for shell completion. */
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
