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
 * What happens in a run, for any firm. All times count from the end of the warm-up:
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
 * @param burst a time of a higher rate; absent for none
 * @param faults what is switched at stand-ins; empty by default
 * @param actions what the script does; empty by default
 */
record Scenario(LoadFile.Burst burst, List<TargetedFault> faults, List<Action> actions) {
    Scenario {
        faults = faults == null ? List.of() : List.copyOf(faults);
        actions = actions == null ? List.of() : List.copyOf(actions);
    }

    /** Which stand-ins of a layout a fault is for. */
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

    /** What the script can do. */
    enum Work {
        /** Takes the layout's second failure domain out of service by the tool. */
        @JsonProperty("domain-out")
        DOMAIN_OUT("domain-out"),
        /** Brings it back. */
        @JsonProperty("domain-back")
        DOMAIN_BACK("domain-back"),
        /** Two operators publish different contracts under one key at once, at two nodes. */
        @JsonProperty("race")
        RACE("race"),
        /** Kills a node. */
        @JsonProperty("kill-node")
        KILL_NODE("kill-node"),
        /** Tells a node to end. */
        @JsonProperty("terminate-node")
        TERMINATE_NODE("terminate-node"),
        /** Tells a node to end and starts it again. */
        @JsonProperty("restart-node")
        RESTART_NODE("restart-node"),
        /** Keeps what the upstreams have counted so far. */
        @JsonProperty("counters")
        COUNTERS("counters");

        private final String word;

        Work(String word) {
            this.word = word;
        }

        /** The word that the script knows it by. */
        String word() {
            return word;
        }
    }

    /**
     * A fault of one or several stand-ins.
     *
     * @param at when, from the end of the warm-up
     * @param on which stand-ins
     * @param body what to post to their faults; absent when leaving
     * @param leaving whether they are marked as leaving in the VM list instead
     */
    record TargetedFault(Duration at, Target on, JsonNode body, boolean leaving) {}

    /**
     * Something that the script does.
     *
     * @param at when, from the end of the warm-up
     * @param run what
     * @param node the number of the node that it is done to, from 1
     * @param name what the counters are kept as
     */
    record Action(Duration at, Work run, Integer node, String name) {
        /** Returns what is done to what, in words for the script. */
        String words(String domain) {
            return switch (run) {
                case DOMAIN_OUT, DOMAIN_BACK -> run.word() + " " + domain;
                case RACE -> run.word();
                case KILL_NODE, TERMINATE_NODE, RESTART_NODE -> run.word() + " " + node;
                case COUNTERS -> run.word() + " " + name;
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
     * @param nodes how many nodes there are
     * @return the scenario, or all that is wrong with the file, one problem a line
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
            boolean whole = fault.at() != null && fault.on() != null && fault.leaving() == (fault.body() == null);
            if (!whole) {
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
