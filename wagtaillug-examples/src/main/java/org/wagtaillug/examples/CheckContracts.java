package org.wagtaillug.examples;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.contract.Body;
import org.wagtaillug.settings.Contracts;
import org.wagtaillug.settings.SettingsProblem;

/** Parses a contract file and prints the keys of its contracts, or all problems with their lines. */
public final class CheckContracts {
    private CheckContracts() {}

    /** Checks the file given as the first argument. */
    public static void main(String[] arguments) throws IOException {
        check(Path.of(arguments[0])).forEach(System.out::println);
    }

    static List<String> check(Path file) throws IOException {
        Either<List<SettingsProblem>, List<Body>> read = Contracts.parse(Files.readString(file), file.toString());
        List<String> lines = new ArrayList<>();
        read.peek(bodies -> bodies.forEach(body -> lines.add(body.key())));
        read.peekLeft(problems -> problems.forEach(problem -> lines.add(problem.toString())));
        return lines;
    }
}
