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

    private String written() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void aMessageIsOneObjectOnOneLine() {
        LogSetup.jsonLines(out, System.Logger.Level.INFO);

        logger.log(System.Logger.Level.WARNING, "said \"{0}\"\nand more", "this");

        assertThat(written()).endsWith("}\n").containsOnlyOnce("\n");
        assertThat(written())
                .contains("\"level\":\"WARNING\"")
                .contains("\"logger\":\"org.wagtaillug.logging.example\"")
                .contains("\"message\":\"said \\\"this\\\"\\nand more\"");
    }

    @Test
    void fieldsStandInTheObjectItself() {
        LogSetup.jsonLines(out, System.Logger.Level.INFO);

        LogFields fields = LogFields.builder()
                .text("decision", "send")
                .list("alternatives", List.of("a", "b"))
                .build();
        logger.log(System.Logger.Level.INFO, "{0}", fields);

        assertThat(written()).contains(",\"decision\":\"send\",\"alternatives\":[\"a\",\"b\"]}");
        assertThat(written()).doesNotContain("\"message\"");
    }

    @Test
    void aFaultIsWrittenWithItsTrace() {
        LogSetup.jsonLines(out, System.Logger.Level.INFO);

        logger.log(System.Logger.Level.ERROR, "broke", new IllegalStateException("because"));

        assertThat(written()).contains("\"fault\":\"java.lang.IllegalStateException: because\\n\\tat ");
    }

    @Test
    void linesBelowTheLevelAreNotWritten() {
        LogSetup.jsonLines(out, System.Logger.Level.WARNING);

        logger.log(System.Logger.Level.INFO, "too little");
        System.getLogger("org.eclipse.jetty.server").log(System.Logger.Level.INFO, "of no use");

        assertThat(written()).isEmpty();
    }

    /**
     * A node is asked to end and finishes its requests. The runtime's shutdown hooks run beside that, and the JDK's own one
     * closes the handlers of all loggers; what the node decides while it drains would never be written.
     */
    @Test
    void linesAreStillWrittenAfterTheRuntimeHasBegunToShutDown() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        LoggingWhileEnding.class.getName())
                .redirectErrorStream(true)
                .start();
        String lines = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

        assertThat(process.waitFor()).isZero();
        assertThat(lines).contains("\"message\":\"runs\"").contains("\"message\":\"drained\"");
    }
}
