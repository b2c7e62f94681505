package org.wagtaillug.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.wagtaillug.result.ResultCode;

class ResultCodesPageTest {
    private static final Pattern ROW = Pattern.compile("\\| (\\d+) \\| ([A-Z_]+) \\| (\\d+) \\|.*");

    @Test
    void thePageListsEveryCodeWithItsNumberNameAndStatus() throws IOException {
        List<String> expected = new ArrayList<>();
        for (ResultCode code : ResultCode.values()) {
            expected.add(code.number() + " " + code + " " + code.status());
        }
        List<String> listed = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("..", "docs", "RESULT-CODES.md"))) {
            Matcher row = ROW.matcher(line);
            if (row.matches()) {
                listed.add(row.group(1) + " " + row.group(2) + " " + row.group(3));
            }
        }
        assertThat(listed).containsExactlyElementsOf(expected);
    }
}
