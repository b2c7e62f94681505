package org.wagtaillug.tool;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.settings.DurationText;
import org.wagtaillug.settings.NearestName;
import org.wagtaillug.tool.ChangeSender.Change;

/** The commands that change the configuration. */
final class ChangeCommands {
    private final AdministrationClient client;
    private final ToolEnvironment environment;

    ChangeCommands(AdministrationClient client, ToolEnvironment environment) {
        this.client = client;
        this.environment = environment;
    }

    /** A key and the body to publish under it. */
    private record PlannedChange(String key, Body body) {}

    Either<ToolFailure, Result> publish(Command.Publish command) {
        return ContractFiles.bodies(command.files()).flatMap(bodies -> {
            List<PlannedChange> planned = new ArrayList<>();
            for (Body body : bodies) {
                planned.add(new PlannedChange(body.key(), body));
            }
            return ConfigurationView.read(client).flatMap(view -> {
                warnOfUnknownTemplates(bodies, view);
                return apply(planned, view, command.change());
            });
        });
    }

    /** Parameters that a customer sets for a template that does not exist have no effect, which is hard to notice later. */
    private void warnOfUnknownTemplates(List<Body> bodies, ConfigurationView view) {
        TreeSet<String> known = new TreeSet<>();
        for (String key : view.entries().keySet()) {
            if (key.startsWith("template/") && !view.entries().get(key).removed()) {
                known.add(key.substring("template/".length()));
            }
        }
        for (Body body : bodies) {
            if (body instanceof Template template) {
                known.add(template.id().value());
            }
        }
        for (Body body : bodies) {
            if (!(body instanceof CustomerContract customer)) {
                continue;
            }
            for (TemplateId template : customer.parameters().keySet()) {
                if (!known.contains(template.value())) {
                    String text = "warning: " + customer.key() + ": parameters." + template + ": no such template";
                    environment.errors().println(text + didYouMean(template.value(), known));
                }
            }
        }
    }

    Either<ToolFailure, Result> remove(Command.Remove command) {
        if (command.keys().size() != 1) {
            return Either.left(
                    CommandLine.usage("remove: found " + command.keys().size() + " keys; expected one"));
        }
        String key = command.keys().getFirst();
        return ConfigurationView.read(client).flatMap(view -> {
            Optional<ConfigurationView.Entry> entry = view.entry(key);
            if (entry.isEmpty() || entry.get().removed()) {
                return Either.left(ViewCommands.noSuchKey(key, view));
            }
            return apply(List.of(new PlannedChange(key, new Body.Removed())), view, command.change());
        });
    }

    Either<ToolFailure, Result> domain(Command.Domain command) {
        return parseOutOrBack("domain", "DOMAIN", command.arguments())
                .flatMap(out -> parseId(command.arguments().get(1), DomainId::new)
                        .flatMap(domain -> changeService(
                                "domain",
                                domain.value(),
                                new Body.DomainService(domain, out),
                                command.unlisted(),
                                command.change())));
    }

    Either<ToolFailure, Result> vm(Command.Vm command) {
        return parseOutOrBack("vm", "VM", command.arguments())
                .flatMap(out -> parseId(command.arguments().get(1), VmId::new)
                        .flatMap(vm -> changeService(
                                "vm", vm.value(), new Body.VmService(vm, out), command.unlisted(), command.change())));
    }

    private static <T> Either<ToolFailure, T> parseId(String name, Function<String, T> constructor) {
        try {
            return Either.right(constructor.apply(name));
        } catch (IllegalArgumentException exception) {
            return Either.left(CommandLine.usage(exception.getMessage()));
        }
    }

    private static Either<ToolFailure, Boolean> parseOutOrBack(String command, String placeholder, List<String> words) {
        boolean known = words.size() == 2 && List.of("out", "back").contains(words.getFirst());
        if (!known) {
            return Either.left(CommandLine.usage(command + ": found \"" + String.join(" ", words) + "\"; expected out "
                    + placeholder + " or back " + placeholder));
        }
        return Either.right(words.getFirst().equals("out"));
    }

    /**
     * Rejects names that no node reports, unless {@code --unlisted} is given: a mistyped name would be taken out of service
     * while the intended one stayed in service.
     */
    private Either<ToolFailure, Result> changeService(
            String field, String name, Body body, boolean unlisted, Command.ChangeOptions options) {
        return ConfigurationView.read(client).flatMap(view -> {
            if (view.entry(body.key()).isPresent() || unlisted) {
                return apply(List.of(new PlannedChange(body.key(), body)), view, options);
            }
            return reportedNames(field).flatMap(names -> {
                if (!names.contains(name)) {
                    String expected = "; expected one of " + String.join(", ", names);
                    return Either.left(new ToolFailure.NotFound("found the " + field + " \"" + name + "\"" + expected
                            + didYouMean(name, names) + " (use --unlisted to accept it anyway)"));
                }
                return apply(List.of(new PlannedChange(body.key(), body)), view, options);
            });
        });
    }

    private Either<ToolFailure, TreeSet<String>> reportedNames(String field) {
        return client.get("/admin/upstreams")
                .flatMap(upstreams -> client.get("/admin/nodes").map(nodes -> {
                    TreeSet<String> names = new TreeSet<>();
                    upstreams
                            .path("upstreams")
                            .forEach(upstream -> names.add(upstream.path(field).asText()));
                    nodes.path("nodes")
                            .forEach(node -> names.add(node.path(field).asText()));
                    names.remove("");
                    return names;
                }));
    }

    private Either<ToolFailure, Result> apply(
            List<PlannedChange> planned, ConfigurationView view, Command.ChangeOptions options) {
        Optional<Duration> timeout = DurationText.parse(options.timeout());
        if (timeout.isEmpty()) {
            String expected = "; expected a duration, for example 5s";
            return Either.left(CommandLine.usage("--timeout: found \"" + options.timeout() + "\"" + expected));
        }
        if (options.base() != null && planned.size() != 1) {
            String found = "--base: found with " + planned.size() + " contracts";
            return Either.left(CommandLine.usage(found + "; expected one, as each key has its own version"));
        }
        ChangeSender sender = new ChangeSender(client, environment, timeout.get());
        ChangeReport report = new ChangeReport();
        for (PlannedChange change : planned) {
            if (report.failed()) {
                report.addNotSent(change.key());
                continue;
            }
            Optional<ConfigurationView.Entry> entry = view.entry(change.key());
            if (options.base() == null && entry.isPresent() && entry.get().hasBody(change.body())) {
                report.addUnchanged(change.key(), entry.get().version());
                continue;
            }
            long base = options.base() == null ? view.version(change.key()) : options.base();
            report.add(change.key(), base, sender.send(new Change(change.key(), base, change.body())));
        }
        if (options.waits() && report.newestVersion() > 0) {
            report.addPropagation(
                    new PropagationWaiter(client, environment).await(report.newestVersion(), timeout.get()),
                    timeout.get());
        }
        return Either.right(report.result());
    }

    private static String didYouMean(String name, TreeSet<String> names) {
        return NearestName.of(name, names)
                .map(nearest -> "; did you mean \"" + nearest + "\"?")
                .orElse("");
    }
}
