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

/** Reads the files given on the command line. */
final class ContractFiles {
    private ContractFiles() {}

    static Either<ToolFailure, String> read(String name) {
        try {
            return Either.right(Files.readString(Path.of(name)));
        } catch (IOException | InvalidPathException exception) {
            String reason = exception.getClass().getSimpleName();
            return Either.left(CommandLine.usage(
                    "found the file " + name + ", which cannot be read (" + reason + "); expected a file in UTF-8"));
        }
    }

    /** Parses the bodies of all files in order; reports a key that occurs more than once as a problem. */
    static Either<ToolFailure, List<Body>> bodies(List<String> names) {
        List<Body> bodies = new ArrayList<>();
        List<SettingsProblem> problems = new ArrayList<>();
        Map<String, String> fileByKey = new HashMap<>();
        for (String name : names) {
            Either<ToolFailure, String> text = read(name);
            if (text.isLeft()) {
                return Either.left(text.getLeft());
            }
            Either<List<SettingsProblem>, List<Body>> parsed = Contracts.parse(text.get(), name);
            problems.addAll(parsed.swap().getOrElse(List.of()));
            for (Body body : parsed.getOrElse(List.of())) {
                String firstFile = fileByKey.putIfAbsent(body.key(), name);
                if (firstFile != null) {
                    problems.add(duplicateKey(name, body.key(), firstFile));
                }
                bodies.add(body);
            }
        }
        return problems.isEmpty() ? Either.right(bodies) : Either.left(new ToolFailure.Invalid(problems));
    }

    private static SettingsProblem duplicateKey(String file, String key, String firstFile) {
        return new SettingsProblem(
                file, 1, "", key + " more than once", "one definition; the first is in " + firstFile, Optional.empty());
    }
}
