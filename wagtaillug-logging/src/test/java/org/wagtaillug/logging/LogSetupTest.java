package org.wagtaillug.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class LogSetupTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final System.Logger logger = System.getLogger("org.wagtaillug.logging.example");

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void aMessageIsWrittenAsOneJsonObjectOnOneLine() {
        LogSetup.jsonLines(out, System.Logger.Level.INFO);

        logger.log(System.Logger.Level.WARNING, "said \"{0}\"\nand more", "this");

        assertThat(output()).endsWith("}\n").containsOnlyOnce("\n");
        assertThat(output())
                .contains("\"level\":\"WARNING\"")
                .contains("\"logger\":\"org.wagtaillug.logging.example\"")
                .contains("\"message\":\"said \\\"this\\\"\\nand more\"");
    }

    @Test
    void fieldsAreWrittenToTheTopLevelOfTheObject() {
        LogSetup.jsonLines(out, System.Logger.Level.INFO);

        LogFields fields = LogFields.builder()
                .text("decision", "send")
                .list("alternatives", List.of("a", "b"))
                .build();
        logger.log(System.Logger.Level.INFO, "{0}", fields);

        assertThat(output()).contains(",\"decision\":\"send\",\"alternatives\":[\"a\",\"b\"]}");
        assertThat(output()).doesNotContain("\"message\"");
    }

    @Test
    void anExceptionIsWrittenWithItsStackTrace() {
        LogSetup.jsonLines(out, System.Logger.Level.INFO);

        logger.log(System.Logger.Level.ERROR, "broke", new IllegalStateException("because"));

        assertThat(output()).contains("\"fault\":\"java.lang.IllegalStateException: because\\n\\tat ");
    }

    @Test
    void linesBelowTheLevelAreNotWritten() {
        LogSetup.jsonLines(out, System.Logger.Level.WARNING);

        logger.log(System.Logger.Level.INFO, "too little");
        System.getLogger("org.eclipse.jetty.server").log(System.Logger.Level.INFO, "of no use");

        assertThat(output()).isEmpty();
    }

    /**
     * Guards against log lines that are lost while a node drains its requests. The shutdown hooks of the JDK run concurrently
     * with the drain, and the one of its log manager closes the handlers of all loggers.
     */
    @Test
    void linesAreStillWrittenAfterTheStartOfTheShutdown() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        LoggingDuringShutdown.class.getName())
                .redirectErrorStream(true)
                .start();
        String processOutput = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

        assertThat(process.waitFor()).isZero();
        assertThat(processOutput).contains("\"message\":\"runs\"").contains("\"message\":\"drained\"");
    }
}
