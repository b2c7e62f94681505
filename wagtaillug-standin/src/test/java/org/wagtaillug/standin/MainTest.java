package org.wagtaillug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return new Main(new PrintStream(out, true), new PrintStream(err, true)).run(arguments);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "engin | found 'engin' | nearest is 'engine'",
                "engine --slot 3 | found '--slot' | nearest is '--slots'",
                "engine --slots 0 | --slots: found 0 | nearest is 1",
                "engine --slots many | many | --slots",
                "log --port 70000 | --port: found 70000 | nearest is 65535",
                "stage --stage encod | found 'encod' | nearest is 'encode'",
                "all | --layout | required",
                "all --layout none.yaml | none.yaml: not found | layout file",
            })
    void wrongUsageEndsWithTwo(String line, String first, String second) {
        assertThat(run(line.split(" "))).isEqualTo(Main.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains(first, second);
        assertThat(out.size()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"--help, all", "engine --help, --cold-limit"})
    void helpEndsWithZero(String line, String expected) {
        assertThat(run(line.split(" "))).isEqualTo(Main.OK);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains(expected);
    }

    @Test
    void aTakenPortEndsWithOne() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertThat(run("log", "--port", "" + taken.getLocalPort())).isEqualTo(Main.SOFTWARE);
            assertThat(err.toString(StandardCharsets.UTF_8))
                    .contains("127.0.0.1:" + taken.getLocalPort(), "a free port");
        }
    }
}
