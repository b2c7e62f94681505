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
    private final Surroundings surroundings;

    ChangeCommands(AdministrationClient client, Surroundings surroundings) {
        this.client = client;
        this.surroundings = surroundings;
    }

    /** One key and what it shall hold. */
    private record Wanted(String key, Body body) {}

    Either<ToolFailure, Result> publish(Command.Publish command) {
        return ContractFiles.bodies(command.files()).flatMap(bodies -> {
            List<Wanted> wanted = new ArrayList<>();
            for (Body body : bodies) {
                wanted.add(new Wanted(body.key(), body));
            }
            return ConfigurationView.read(client).flatMap(view -> {
                warnOfUnknownTemplates(bodies, view);
                return apply(wanted, view, command.change());
            });
        });
    }

    /** A customer's parameters for a template that does not exist change nothing, which is hard to notice later. */
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
                    surroundings.errors().println(text + didYouMean(template.value(), known));
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
            return apply(List.of(new Wanted(key, new Body.Removed())), view, command.change());
        });
    }

    Either<ToolFailure, Result> domain(Command.Domain command) {
        return outOrBack("domain", "DOMAIN", command.words())
                .flatMap(out -> named(command.words().get(1), DomainId::new)
                        .flatMap(domain -> service(
                                "domain",
                                domain.value(),
                                new Body.DomainService(domain, out),
                                command.unlisted(),
                                command.change())));
    }

    Either<ToolFailure, Result> vm(Command.Vm command) {
        return outOrBack("vm", "VM", command.words())
                .flatMap(out -> named(command.words().get(1), VmId::new)
                        .flatMap(vm -> service(
                                "vm", vm.value(), new Body.VmService(vm, out), command.unlisted(), command.change())));
    }

    private static <T> Either<ToolFailure, T> named(String name, Function<String, T> type) {
        try {
            return Either.right(type.apply(name));
        } catch (IllegalArgumentException fault) {
            return Either.left(CommandLine.usage(fault.getMessage()));
        }
    }

    private static Either<ToolFailure, Boolean> outOrBack(String command, String what, List<String> words) {
        boolean known = words.size() == 2 && List.of("out", "back").contains(words.getFirst());
        if (!known) {
            return Either.left(CommandLine.usage(command + ": found \"" + String.join(" ", words) + "\"; expected out "
                    + what + " or back " + what));
        }
        return Either.right(words.getFirst().equals("out"));
    }

    /** A mistyped name would be taken out and the right one would go on, so that a new name must be one that is seen. */
    private Either<ToolFailure, Result> service(
            String field, String name, Body body, boolean unlisted, Command.ChangeOptions options) {
        return ConfigurationView.read(client).flatMap(view -> {
            if (view.entry(body.key()).isPresent() || unlisted) {
                return apply(List.of(new Wanted(body.key(), body)), view, options);
            }
            return seen(field).flatMap(names -> {
                if (!names.contains(name)) {
                    String expected = "; expected one of " + String.join(", ", names);
                    return Either.left(new ToolFailure.NotFound("found the " + field + " \"" + name + "\"" + expected
                            + didYouMean(name, names) + " (--unlisted takes it all the same)"));
                }
                return apply(List.of(new Wanted(body.key(), body)), view, options);
            });
        });
    }

    private Either<ToolFailure, TreeSet<String>> seen(String field) {
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
            List<Wanted> wanted, ConfigurationView view, Command.ChangeOptions options) {
        Optional<Duration> timeout = DurationText.parse(options.timeout());
        if (timeout.isEmpty()) {
            String expected = "; expected a duration, for example 5s";
            return Either.left(CommandLine.usage("--timeout: found \"" + options.timeout() + "\"" + expected));
        }
        if (options.base() != null && wanted.size() != 1) {
            String found = "--base: found with " + wanted.size() + " contracts";
            return Either.left(CommandLine.usage(found + "; expected one, as each key has its own version"));
        }
        ChangeSender sender = new ChangeSender(client, surroundings, timeout.get());
        ChangeReport report = new ChangeReport();
        for (Wanted next : wanted) {
            if (report.failed()) {
                report.notSent(next.key());
                continue;
            }
            Optional<ConfigurationView.Entry> entry = view.entry(next.key());
            if (options.base() == null && entry.isPresent() && entry.get().holds(next.body())) {
                report.unchanged(next.key(), entry.get().version());
                continue;
            }
            long base = options.base() == null ? view.version(next.key()) : options.base();
            report.add(next.key(), base, sender.send(new Change(next.key(), base, next.body())));
        }
        if (options.waits() && report.newest() > 0) {
            report.reach(new ForceWait(client, surroundings).await(report.newest(), timeout.get()), timeout.get());
        }
        return Either.right(report.result());
    }

    private static String didYouMean(String name, TreeSet<String> names) {
        return NearestName.of(name, names)
                .map(nearest -> "; did you mean \"" + nearest + "\"?")
                .orElse("");
    }
}
