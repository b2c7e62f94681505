package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Properties;

/** Runs one command line and prints its result. */
final class Tool {
    private final ToolEnvironment environment;

    Tool(ToolEnvironment environment) {
        this.environment = environment;
    }

    /** Runs the command line and returns the exit code. */
    int run(String... arguments) {
        CommandLine commandLine = new CommandLine();
        Either<ToolFailure, CommandLine.Invocation> invocation = commandLine.parse(arguments);
        if (invocation.isLeft()) {
            return printFailure(invocation.getLeft(), false);
        }
        return switch (invocation.get()) {
            case CommandLine.Invocation.Help help -> print(help.text());
            case CommandLine.Invocation.Version ignored -> print(CommandLine.PROGRAM + " " + version());
            case CommandLine.Invocation.Run run -> {
                boolean json = run.connection().output().equals("json");
                Either<ToolFailure, Result> result = execute(run.command(), run.connection(), commandLine);
                yield result.isRight() ? printResult(result.get(), json) : printFailure(result.getLeft(), json);
            }
        };
    }

    private Either<ToolFailure, Result> execute(
            Command command, ConnectionOptions connection, CommandLine commandLine) {
        return switch (command) {
            case Command.Validate validate -> FileCommands.validate(validate.files());
            case Command.Account account -> FileCommands.account(account.files());
            case Command.Completion completion -> completion(completion.shells(), commandLine);
            case Command.Online online -> connectAndExecute(online, connection);
        };
    }

    private static Either<ToolFailure, Result> completion(List<String> shells, CommandLine commandLine) {
        if (!shells.equals(List.of("bash"))) {
            String found = "completion: found \"" + String.join(" ", shells) + "\"";
            return Either.left(CommandLine.usage(found + "; expected bash"));
        }
        String script = BashCompletion.script(commandLine.optionsByCommand()).stripTrailing();
        return Either.right(
                Result.ok(script, JsonNodeFactory.instance.objectNode().put("script", script)));
    }

    private Either<ToolFailure, Result> connectAndExecute(Command.Online command, ConnectionOptions options) {
        Either<ToolFailure, List<String>> nodes = nodeUrls(options);
        if (nodes.isLeft()) {
            return Either.left(nodes.getLeft());
        }
        String token = Optional.ofNullable(options.token())
                .orElse(environment.variables().getOrDefault(ConnectionOptions.TOKEN_VARIABLE, ""));
        if (token.isBlank()) {
            return Either.left(CommandLine.usage(
                    "found no token; expected --token or the variable " + ConnectionOptions.TOKEN_VARIABLE));
        }
        Optional<Path> trust = Optional.ofNullable(options.trust()).map(Path::of);
        return AdministrationClient.start(nodes.get(), token, trust).flatMap(client -> {
            try (client) {
                return executeOnline(command, client);
            }
        });
    }

    private Either<ToolFailure, Result> executeOnline(Command.Online command, AdministrationClient client) {
        ChangeCommands changes = new ChangeCommands(client, environment);
        ViewCommands views = new ViewCommands(client);
        return switch (command) {
            case Command.Publish publish -> changes.publish(publish);
            case Command.Remove remove -> changes.remove(remove);
            case Command.Domain domain -> changes.domain(domain);
            case Command.Vm vm -> changes.vm(vm);
            case Command.Diff diff -> views.diff(diff.files());
            case Command.Show show -> views.show(show.keys());
            case Command.Nodes ignored -> views.nodes();
            case Command.Upstreams ignored -> views.upstreams();
            case Command.Ownership ignored -> views.ownership();
            case Command.Requests ignored -> views.requests();
            case Command.Why why -> views.why(why.requests());
            case Command.Config config -> views.digest(config.arguments());
        };
    }

    private Either<ToolFailure, List<String>> nodeUrls(ConnectionOptions options) {
        List<String> given = options.nodes();
        if (given.isEmpty()) {
            String variable = environment.variables().getOrDefault(ConnectionOptions.NODE_VARIABLE, "");
            given = variable.isBlank() ? List.of() : List.of(variable.split(","));
        }
        List<String> nodes = new ArrayList<>();
        for (String name : given) {
            String node = name.strip();
            if (!node.matches("https?://[^/\\s?#]+/?")) {
                String expected = "; expected a URL such as http://127.0.0.1:8101";
                return Either.left(CommandLine.usage("--node: found \"" + node + "\"" + expected));
            }
            nodes.add(node.endsWith("/") ? node.substring(0, node.length() - 1) : node);
        }
        if (nodes.isEmpty()) {
            return Either.left(CommandLine.usage(
                    "found no node; expected --node URL or the variable " + ConnectionOptions.NODE_VARIABLE));
        }
        return Either.right(nodes);
    }

    private int print(String text) {
        environment.output().println(text);
        return ExitCode.OK.number();
    }

    private int printResult(Result result, boolean json) {
        if (json) {
            environment.output().println(result.json().toPrettyString());
            return result.exitCode().number();
        }
        if (!result.text().isEmpty()) {
            environment.output().println(result.text());
        }
        if (!result.errors().isEmpty()) {
            environment.errors().println(result.errors());
        }
        return result.exitCode().number();
    }

    private int printFailure(ToolFailure failure, boolean json) {
        int exitCode = failure.exitCode().number();
        if (json) {
            ObjectNode error = JsonNodeFactory.instance.objectNode().put("error", failure.message());
            environment.output().println(error.put("exit_code", exitCode).toPrettyString());
            return exitCode;
        }
        environment.errors().println(failure.message());
        return exitCode;
    }

    private static String version() {
        try (InputStream stream = Tool.class.getResourceAsStream("version.properties")) {
            Properties properties = new Properties();
            properties.load(stream);
            return properties.getProperty("version");
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot read version.properties", exception);
        }
    }
}
