package org.wagtaillug.standin.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.standin.load.LoadFile;

/**
 * The events of a run, independent of the firm. All times are relative to the end of the warm-up:
 *
 * <pre>
 * burst: {at: 10s, for: 10s, factor: 5}
 * faults:
 *   - {at: 5s, on: one-of-each-pool, body: {fault: slow, factor: 10}}
 *   - {at: 9s, on: one-of-each-pool, leaving: true}
 * actions:
 *   - {at: 8s, run: domain-out}
 *   - {at: 9s, run: kill-node, node: 5}
 *   - {at: 10s, run: counters, name: before-back}
 * </pre>
 *
 * @param burst a period with a higher rate; absent for none
 * @param faults the faults to inject into stand-ins; empty by default
 * @param actions the actions of the script; empty by default
 */
record Scenario(LoadFile.Burst burst, List<TargetedFault> faults, List<Action> actions) {
    Scenario {
        faults = faults == null ? List.of() : List.copyOf(faults);
        actions = actions == null ? List.of() : List.copyOf(actions);
    }

    /** The stand-ins of a layout that a fault applies to. */
    enum Target {
        /** The first server of each pool. */
        @JsonProperty("one-of-each-pool")
        ONE_OF_EACH_POOL,
        /** The first third of the engines. */
        @JsonProperty("third-of-engines")
        THIRD_OF_ENGINES,
        /** The log service. */
        @JsonProperty("log")
        LOG
    }

    /** The actions that the script supports. */
    enum Work {
        /** Takes the layout's second failure domain out of service with the tool. */
        @JsonProperty("domain-out")
        DOMAIN_OUT("domain-out"),
        /** Puts that failure domain back into service. */
        @JsonProperty("domain-back")
        DOMAIN_BACK("domain-back"),
        /** Two operators concurrently publish different contracts with the same key at two nodes. */
        @JsonProperty("race")
        RACE("race"),
        /** Kills a node with SIGKILL. */
        @JsonProperty("kill-node")
        KILL_NODE("kill-node"),
        /** Terminates a node with SIGTERM. */
        @JsonProperty("terminate-node")
        TERMINATE_NODE("terminate-node"),
        /** Terminates a node with SIGTERM and starts it again. */
        @JsonProperty("restart-node")
        RESTART_NODE("restart-node"),
        /** Saves the current counters of the upstreams. */
        @JsonProperty("counters")
        COUNTERS("counters");

        private final String scriptName;

        Work(String scriptName) {
            this.scriptName = scriptName;
        }

        /** Returns the name of the action in the script. */
        String scriptName() {
            return scriptName;
        }
    }

    /**
     * A fault in one or more stand-ins.
     *
     * @param at the time, relative to the end of the warm-up
     * @param on the affected stand-ins
     * @param body the body of {@code POST /faults}; absent if {@code leaving}
     * @param leaving whether the stand-ins are marked as leaving in the VM list instead
     */
    record TargetedFault(Duration at, Target on, JsonNode body, boolean leaving) {}

    /**
     * An action of the script.
     *
     * @param at the time, relative to the end of the warm-up
     * @param run the action
     * @param node the number of the affected node, from 1
     * @param name the name under which the counters are saved
     */
    record Action(Duration at, Work run, Integer node, String name) {
        /** Returns the action and its argument as the script reads them. */
        String scriptLine(String domain) {
            return switch (run) {
                case DOMAIN_OUT, DOMAIN_BACK -> run.scriptName() + " " + domain;
                case RACE -> run.scriptName();
                case KILL_NODE, TERMINATE_NODE, RESTART_NODE -> run.scriptName() + " " + node;
                case COUNTERS -> run.scriptName() + " " + name;
            };
        }

        private Optional<String> problem(int nodes) {
            if (at == null || run == null) {
                return Optional.of("expected at and run");
            }
            return switch (run) {
                case DOMAIN_OUT, DOMAIN_BACK, RACE -> Optional.empty();
                case KILL_NODE, TERMINATE_NODE, RESTART_NODE -> nodeProblem(nodes);
                case COUNTERS -> name == null ? Optional.of("name: missing, expected a name") : Optional.empty();
            };
        }

        private Optional<String> nodeProblem(int nodes) {
            boolean known = node != null && node >= 1 && node <= nodes;
            return known
                    ? Optional.empty()
                    : Optional.of("node: found " + node + ", expected a number from 1 to " + nodes);
        }
    }

    /**
     * Reads a scenario.
     *
     * @param nodes the number of nodes
     * @return the scenario, or all problems of the file, one per line
     */
    static Either<String, Scenario> read(Path file, int nodes) {
        return YamlFiles.read(file, Scenario.class).flatMap(read -> {
            Scenario scenario = read.getOrElse(new Scenario(null, List.of(), List.of()));
            List<String> problems = scenario.problems(nodes);
            return problems.isEmpty()
                    ? Either.right(scenario)
                    : Either.left(file + ": " + String.join(System.lineSeparator() + file + ": ", problems));
        });
    }

    private List<String> problems(int nodes) {
        List<String> problems = new ArrayList<>();
        for (int index = 0; index < faults.size(); index++) {
            TargetedFault fault = faults.get(index);
            boolean valid = fault.at() != null && fault.on() != null && fault.leaving() == (fault.body() == null);
            if (!valid) {
                problems.add("faults[" + index + "]: expected at, on and either body or leaving");
            }
        }
        for (int index = 0; index < actions.size(); index++) {
            String path = "actions[" + index + "]: ";
            actions.get(index).problem(nodes).ifPresent(problem -> problems.add(path + problem));
        }
        return problems;
    }
}
