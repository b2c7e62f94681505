import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file in the folder of the project. */
final class Node {
    /** The ports that all nodes of a case have in common. */
    record Ports(int callers, int readiness, int administration, int link, int tunnels) {}

    final String ip;
    final String zone;
    private final Path folder;
    private final Path settings;
    private final Ports ports;
    private final List<String> extraArguments;
    private Process process;
    private int runs;

    Node(Path folder, String ip, String name, String zone, Ports ports, String store, List<String> seeds)
            throws IOException {
        this.folder = folder;
        this.ip = ip;
        this.zone = zone;
        this.ports = ports;
        this.extraArguments = List.of();
        settings = folder.resolve(name + ".yaml");
        StringBuilder seedLines = new StringBuilder();
        seeds.forEach(seed -> seedLines.append("  - \"").append(seed).append(":").append(ports.link()).append("\"\n"));
        // deploy/settings.template with the figures of sites/ramdin-lunch.toml.
        Files.writeString(
                settings,
                "node:\n  vm: \"" + ip + "\"\n  name: \"" + name + "\"\n  domain: \"" + zone + "\"\n"
                        + "listen:\n  callers: \"" + ip + ":" + ports.callers() + "\"\n"
                        + "  readiness: \"" + ip + ":" + ports.readiness() + "\"\n"
                        + "  administration: \"" + ip + ":" + ports.administration() + "\"\n"
                        + "  link: \"" + ip + ":" + ports.link() + "\"\n"
                        + "  tunnels: \"" + ip + ":" + ports.tunnels() + "\"\n"
                        + "store: \"" + store + "\"\nseeds:\n" + seedLines
                        + "processor:\n  share: 0.75\n  speed: 1\n"
                        + "repeats:\n  window: \"10s\"\n  ratio: 0.2\n  fixed: 56\n"
                        + "cold_upstreams:\n  ratio: 1.5\n  fixed: 5\n"
                        + "agreements: [base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages]\n"
                        + "shutdown_grace: \"8s\"\n");
    }

    static Path root() {
        return Path.of("").toAbsolutePath();
    }

    /** The program and its arguments, without the settings file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(root().resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                List<String> words = new ArrayList<>(List.of(run.split(" ")));
                words.removeLast();
                return words;
            }
        }
        throw new IOException("deploy/system.toml has no line that begins with run");
    }

    void start() throws IOException {
        runs++;
        List<String> command = command();
        command.addAll(extraArguments);
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root().toFile());
        builder.environment().put("WAGTAILLUG_BOOT", settings.toString());
        File log = log().toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    Path log() {
        return folder.resolve(ip + ".log");
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Sends a signal by its name. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    Process process() {
        return process;
    }

    int callersPort() {
        return ports.callers();
    }

    /** Whether the platform's question is answered with 200. */
    boolean ready() {
        try (Client client = new Client(ip, ports.readiness(), 500)) {
            return client.send("GET /api/readiness HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n").status()
                    == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    void awaitReady(long millis) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!ready()) {
            if (System.nanoTime() > until || !alive()) {
                throw new IOException(ip + " is not ready");
            }
            Thread.sleep(20);
        }
    }

    /** How often a decision stands in the log. */
    long logged(String text) throws IOException {
        return Files.exists(log())
                ? Files.readAllLines(log(), StandardCharsets.UTF_8).stream().filter(line -> line.contains(text)).count()
                : 0;
    }
}
