package org.wagtaillug.standin.experiment;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.wagtaillug.standin.Layout;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.load.LoadFile;
import org.wagtaillug.standin.options.NearestName;
import org.wagtaillug.standin.options.UpstreamOptions;

/**
 * The {@code plan} subcommand: writes the load file, the actions and the list of upstreams of one run.
 *
 * <pre>
 * bin/standin plan --firm ramdin --scenario straggler+burst --policy naive --seed 2 --examples examples --out DIR
 * </pre>
 */
@Parameters(commandDescription = "Writes the load file and the actions of one run of an experiment")
public final class PlanCommand {
    private static final List<String> FIRMS = List.of("ramdin", "himalchuli");
    private static final List<String> POLICIES = List.of("naive", "current");
    private static final String SUFFIX = ".yaml";

    @Parameter(names = "--help", help = true, description = "Shows this help")
    private boolean help;

    @Parameter(names = "--firm", description = "Firm whose layout and load to use: ramdin or himalchuli")
    private String firm = "ramdin";

    @Parameter(names = "--scenario", required = true, description = "Scenario, or several separated by +")
    private String scenario;

    @Parameter(names = "--policy", description = "Policy of the nodes: naive or current")
    private String policy = "current";

    @Parameter(names = "--seed", description = "Seed of the arrivals and inputs")
    private long seed = 1;

    @Parameter(names = "--rate", description = "Requests per second; by default 60% of the engines' capacity")
    private Double rate;

    @Parameter(names = "--examples", description = "Folder with the firms' layouts and the experiments")
    private String examples = "examples";

    @Parameter(names = "--out", required = true, description = "Folder to write into")
    private String out;

    /** Returns whether help was requested. */
    public boolean help() {
        return help;
    }

    /**
     * Writes the run's files.
     *
     * @return nothing, or an error message if arguments or files are invalid
     * @throws IOException if the files cannot be written
     */
    public Either<String, Void> run(PrintStream console) throws IOException {
        if (!FIRMS.contains(firm)) {
            return Either.left("--firm: found '" + firm + "', " + NearestName.expected(firm, FIRMS));
        }
        if (!POLICIES.contains(policy)) {
            return Either.left("--policy: found '" + policy + "', " + NearestName.expected(policy, POLICIES));
        }
        if (rate != null && rate <= 0) {
            return Either.left("--rate: found " + rate + ", expected requests a second, above 0");
        }
        Either<String, Plan> plan = plan();
        if (plan.isLeft()) {
            return Either.left(plan.getLeft());
        }
        write(plan.get(), console);
        return Either.right(null);
    }

    private Either<String, Plan> plan() throws IOException {
        Path root = Path.of(examples);
        Either<String, Layout> layout = Layout.read(root.resolve(firm).resolve("layout" + SUFFIX));
        if (layout.isLeft()) {
            return Either.left(layout.getLeft());
        }
        Either<String, LoadFile> base = LoadFile.read(loadFile());
        if (base.isLeft()) {
            return Either.left(base.getLeft());
        }
        List<Scenario> scenarios = new ArrayList<>();
        for (String name : scenario.split("\\+")) {
            Path folder = root.resolve("experiments").resolve("scenarios");
            List<String> known = names(folder);
            if (!known.contains(name)) {
                return Either.left("scenario: found '" + name + "', " + NearestName.expected(name, known));
            }
            int nodes = layout.get().nodes().size();
            Either<String, Scenario> read = Scenario.read(folder.resolve(name + SUFFIX), nodes);
            if (read.isLeft()) {
                return Either.left(read.getLeft());
            }
            scenarios.add(read.get());
        }
        OptionalDouble askedRate = rate == null ? OptionalDouble.empty() : OptionalDouble.of(rate);
        return Either.right(new Plan(layout.get(), base.get(), scenarios, askedRate));
    }

    private Path loadFile() {
        return Path.of(examples).resolve("experiments").resolve(firm + SUFFIX);
    }

    private static List<String> names(Path folder) throws IOException {
        List<String> names = new ArrayList<>();
        try (var files = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
            for (Path file : files) {
                names.add(file.getFileName().toString().replace(SUFFIX, ""));
            }
        }
        names.sort(String::compareTo);
        return names;
    }

    private void write(Plan plan, PrintStream console) throws IOException {
        Path folder = Path.of(out);
        Files.createDirectories(folder);
        ObjectNode load = YamlFiles.read(loadFile(), ObjectNode.class)
                .map(read -> read.getOrElse(Json.mapper().createObjectNode()))
                .getOrElseThrow(problem -> new IOException(problem));
        plan.applyTo(load);
        YamlFiles.write(folder.resolve("load.yaml"), load);
        Files.write(folder.resolve("actions.txt"), plan.actionLines());
        Files.write(folder.resolve("upstreams.txt"), plan.upstreamLines());
        RunFacts facts = facts(plan);
        Files.write(folder.resolve(RunFacts.FILE), Json.write(facts));
        console.printf(
                "%s, policy %s, seed %d, firm %s: %.1f requests/s; the engines bear %.1f%n",
                scenario, policy, seed, firm, facts.rate(), facts.capacity());
    }

    private RunFacts facts(Plan plan) {
        List<RunFacts.UpstreamFacts> upstreams = new ArrayList<>();
        for (Layout.Entry entry : plan.layout().standIns()) {
            if (!entry.kind().isUpstream()) {
                continue;
            }
            int coldLimit = ((UpstreamOptions) entry.options()).coldLimit();
            boolean leaves = plan.leaving().contains(entry.name());
            upstreams.add(new RunFacts.UpstreamFacts(entry.name(), entry.pool(), entry.domain(), coldLimit, leaves));
        }
        return new RunFacts(
                scenario,
                firm,
                policy,
                seed,
                plan.rate(),
                plan.capacity(),
                plan.base().warmUp().toMillis(),
                plan.secondDomain(),
                upstreams);
    }
}
