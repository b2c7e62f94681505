package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A JVM with the class path of the test, whose output goes to a file. */
final class JavaProcess {
    /** Signals that tests send; the exit code of the JVM tells how it ended. */
    enum Signal {
        STOP,
        CONT,
        TERM,
        KILL
    }

    private static final List<String> JVM_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");

    private final Process process;
    private final Path output;

    private JavaProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    static JavaProcess start(Class<?> main, Path output, String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
        // Otherwise the process would keep running when the test JVM is killed by a signal.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return new JavaProcess(process, output);
    }

    boolean alive() {
        return process.isAlive();
    }

    String output() {
        try {
            return Files.readString(output);
        } catch (IOException unreadable) {
            return "";
        }
    }

    void signal(Signal signal) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
        assertThat(kill.waitFor()).as("exit code of kill -" + signal).isZero();
    }

    /** Waits for the end of the process and returns its exit code. */
    int exitCode() throws InterruptedException {
        boolean ended = process.waitFor(Waiting.TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertThat(ended).as("the process has ended; its output: " + output()).isTrue();
        return process.exitValue();
    }

    /** Kills the process, even when it is stopped. */
    void destroy() {
        process.destroyForcibly();
        process.onExit().join();
    }
}
