package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.wagtaillug.settings.Contracts;
import org.wagtaillug.settings.NodeSettings;
import org.wagtaillug.settings.SettingsProblem;
import org.wagtaillug.tool.account.AccountCommand;

/** The commands that read files and do not contact any node. */
final class FileCommands {
    private static final Pattern KIND_FIELD = Pattern.compile("(?m)^\\s*[{]?\\s*\"?kind\"?\\s*:");

    private FileCommands() {}

    /** Checks each file as contracts or as node settings: only contracts have the field {@code kind}. */
    static Either<ToolFailure, Result> validate(List<String> names) {
        List<String> lines = new ArrayList<>();
        List<SettingsProblem> problems = new ArrayList<>();
        for (String name : names) {
            Either<ToolFailure, String> text = ContractFiles.read(name);
            if (text.isLeft()) {
                return Either.left(text.getLeft());
            }
            Either<List<SettingsProblem>, String> checked = check(text.get(), name);
            checked.peek(line -> lines.add(name + ": " + line));
            problems.addAll(checked.swap().getOrElse(List.of()));
        }
        ExitCode exitCode = problems.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
        String errors = problems.isEmpty() ? "" : new ToolFailure.Invalid(problems).message();
        return Either.right(new Result(String.join("\n", lines), errors, json(problems), exitCode));
    }

    /** Summarizes from the log files of nodes where requests spent their time. */
    static Either<ToolFailure, Result> account(List<String> names) {
        return AccountCommand.of(names)
                .<ToolFailure>mapLeft(ToolFailure.NotFound::new)
                .map(report -> Result.ok(tables(report), report));
    }

    private static String tables(ObjectNode report) {
        List<String> texts = new ArrayList<>();
        List<String> counts = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : report.properties()) {
            if (!field.getValue().isArray()) {
                counts.add(field.getKey().replace('_', ' ') + " " + field.getValue());
            } else if (!field.getValue().isEmpty()) {
                texts.add(field.getKey() + "\n"
                        + new Table(columns(field.getValue()))
                                .rows(field.getValue())
                                .text());
            }
        }
        return String.join(", ", counts) + "\n\n" + String.join("\n\n", texts);
    }

    /** All fields of the rows, in the order of their first occurrence. */
    private static List<String> columns(JsonNode rows) {
        Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
        return List.copyOf(columns);
    }

    private static Either<List<SettingsProblem>, String> check(String text, String name) {
        if (KIND_FIELD.matcher(text).find()) {
            return Contracts.parse(text, name).map(bodies -> "valid, " + bodies.size() + " contracts");
        }
        return NodeSettings.parse(text, name)
                .map(settings ->
                        "valid settings of the node on " + settings.node().vm());
    }

    private static ObjectNode json(List<SettingsProblem> problems) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("valid", problems.isEmpty());
        ArrayNode list = json.putArray("problems");
        for (SettingsProblem problem : problems) {
            ObjectNode entry = list.addObject();
            entry.put("file", problem.file()).put("line", problem.line()).put("path", problem.path());
            entry.put("found", problem.found()).put("expected", problem.expected());
            problem.nearest().ifPresent(nearest -> entry.put("nearest", nearest));
        }
        return json;
    }
}
