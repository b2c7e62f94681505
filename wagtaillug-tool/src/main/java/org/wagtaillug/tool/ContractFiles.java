package org.wagtaillug.tool;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.contract.Body;
import org.wagtaillug.settings.Contracts;
import org.wagtaillug.settings.SettingsProblem;

/** Reads the files that the command line names. */
final class ContractFiles {
    private ContractFiles() {}

    static Either<ToolFailure, String> text(String name) {
        try {
            return Either.right(Files.readString(Path.of(name)));
        } catch (IOException | InvalidPathException fault) {
            String reason = fault.getClass().getSimpleName();
            return Either.left(CommandLine.usage(
                    "found the file " + name + ", which cannot be read (" + reason + "); expected a file in UTF-8"));
        }
    }

    /** All bodies of all files in their order; a key may stand in one file only. */
    static Either<ToolFailure, List<Body>> bodies(List<String> names) {
        List<Body> bodies = new ArrayList<>();
        List<SettingsProblem> problems = new ArrayList<>();
        Map<String, String> files = new HashMap<>();
        for (String name : names) {
            Either<ToolFailure, String> text = text(name);
            if (text.isLeft()) {
                return Either.left(text.getLeft());
            }
            Either<List<SettingsProblem>, List<Body>> parsed = Contracts.parse(text.get(), name);
            problems.addAll(parsed.swap().getOrElse(List.of()));
            for (Body body : parsed.getOrElse(List.of())) {
                String earlier = files.putIfAbsent(body.key(), name);
                if (earlier != null) {
                    problems.add(twice(name, body.key(), earlier));
                }
                bodies.add(body);
            }
        }
        return problems.isEmpty() ? Either.right(bodies) : Either.left(new ToolFailure.Invalid(problems));
    }

    private static SettingsProblem twice(String file, String key, String earlier) {
        return new SettingsProblem(file, 1, "", key + " again", "it once, as in " + earlier, Optional.empty());
    }
}
