package org.wagtaillug.tool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CommandLineTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\u0000',
            value = {
                "publsh x | found the command \"publsh\" | did you mean \"publish\"?",
                "publish | publish: found no argument | expected FILE...",
                "publish x --wiat | found the option \"--wiat\" | did you mean \"--wait\"?",
                "publish x -w | found the option \"-w\" | expected one of --base",
                "show --outptu=json | found the option \"--outptu\" | did you mean \"--output\"?",
                "show --output xml | --output: found \"xml\" | expected text or json",
                "show --token | --token | value",
                "show --token t | found no node | WAGTAILLUG_NODE",
                "show --node http://127.0.0.1:1 | found no token | WAGTAILLUG_TOKEN",
                "show --token t --node localhost:8101 | --node: found \"localhost:8101\" | expected a URL",
                "show a b --token t --node http://127.0.0.1:1 | show: found 2 keys | expected one or none",
                "domain off pl-a --token t --node http://127.0.0.1:1 | found \"off pl-a\" | out DOMAIN or back DOMAIN",
                "vm out --token t --node http://127.0.0.1:1 | vm: found \"out\" | expected out VM or back VM",
                "config show --token t --node http://127.0.0.1:1 | config: found \"show\" | expected digest",
                "completion zsh | completion: found \"zsh\" | expected bash",
                "validate no-such-file.yaml | no-such-file.yaml | expected a file",
                "nodes more | more | Try wagtaillugctl --help",
            })
    void invalidUsageReportsWhatWasFoundAndExpected(String line, String found, String expected) {
        ToolRun run = ToolRun.of(line.strip().split(" "));
        assertThat(run.errors()).contains(found.strip()).contains(expected.strip());
        assertThat(run.output()).isEmpty();
        assertThat(run.exitCode()).isEqualTo(2);
    }

    @Test
    void aCommandLineWithoutACommandIsInvalidUsage() {
        assertThat(ToolRun.of().exitCode()).isEqualTo(2);
    }

    @Test
    void helpAndVersionNeedNoNode() {
        assertThat(ToolRun.of("--version")).isEqualTo(new ToolRun(0, "wagtaillugctl 0.1.0\n", ""));
        assertThat(ToolRun.of("--help").output()).contains("publish").contains("Exit codes");
        assertThat(ToolRun.of("publish", "--help").output()).contains("--wait").contains("FILE...");
    }

    @Test
    void completesCommandsAndLongOptions() {
        ToolRun run = ToolRun.of("completion", "bash");
        assertThat(run.exitCode()).isZero();
        assertThat(run.output()).contains("domain) words=\"out back --base").contains("complete -o default");
    }

    @Test
    void validatesContractsAndNodeSettingsWithoutANode() {
        ToolRun run = ToolRun.of("validate", "../examples/ramdin/contracts.yaml", "../examples/ramdin/node-1.yaml");
        assertThat(run.errors()).isEmpty();
        assertThat(run.output()).contains("contracts.yaml: valid, 18").contains("ramdin-node-1");
        assertThat(run.exitCode()).isZero();
    }
}
