package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.settings.DurationText;
import org.wagtaillug.tool.ChangeSender.Outcome;

/** Collects what came of the changes of one command. */
final class ChangeReport {
    private final List<String> lines = new ArrayList<>();
    private final List<String> errors = new ArrayList<>();
    private final ObjectNode json = JsonNodeFactory.instance.objectNode();
    private final ArrayNode changes = json.putArray("changes");
    private long newest;
    private boolean failed;

    /** The newest version that the command has met; 0 if none. */
    long newest() {
        return newest;
    }

    boolean failed() {
        return failed;
    }

    void unchanged(String key, long version) {
        lines.add(key + ": unchanged, version " + version);
        entry(key, "unchanged").put("version", version);
        newest = Math.max(newest, version);
    }

    void notSent(String key) {
        errors.add(key + ": not sent, as one before it failed");
        entry(key, "not-sent");
    }

    void add(String key, long base, Outcome outcome) {
        failed = !(outcome instanceof Outcome.Accepted);
        switch (outcome) {
            case Outcome.Accepted accepted -> {
                newest = accepted.version();
                lines.add(key + ": accepted as version " + accepted.version());
                entry(key, "accepted").put("version", accepted.version());
            }
            case Outcome.Crossed crossed -> {
                String winner =
                        crossed.winner().map(version -> "version " + version).orElse("another change");
                errors.add(key + ": not accepted: " + winner + " won; yours was made from version " + base
                        + ". See diff and publish again");
                ObjectNode entry = entry(key, "crossed").put("base", base);
                crossed.winner().ifPresent(version -> entry.put("winner", version));
            }
            case Outcome.Failed refused -> {
                errors.add(key + ": not accepted: " + refused.failure().message());
                entry(key, "failed").put("message", refused.failure().message());
            }
            case Outcome.Unknown unknown -> unknown(key, unknown);
        }
    }

    private void unknown(String key, Outcome.Unknown unknown) {
        String now = unknown.entry()
                .map(entry -> "; it is now at version " + entry.version() + ", which "
                        + (unknown.asSent() ? "holds what was sent" : "does not hold what was sent"))
                .orElse("");
        errors.add(key + ": not known whether accepted (" + unknown.reason() + ")" + now);
        ObjectNode entry = entry(key, "unknown").put("message", unknown.reason());
        unknown.entry().ifPresent(shown -> entry.put("version", shown.version()));
        entry.put("as_sent", unknown.asSent());
    }

    private ObjectNode entry(String key, String outcome) {
        return changes.addObject().put("key", key).put("outcome", outcome);
    }

    void reach(Either<ToolFailure, ForceWait.Reach> reach, Duration timeout) {
        if (reach.isLeft()) {
            failed = true;
            errors.add("not known whether version " + newest + " is in force: "
                    + reach.getLeft().message());
            json.putObject("in_force").put("version", newest).put("in_force", false);
            return;
        }
        ForceWait.Reach known = reach.get();
        String text = "in force on " + known.reached() + " of " + known.nodes() + " nodes";
        ObjectNode entry = json.putObject("in_force").put("version", newest);
        entry.put("in_force", known.everywhere());
        entry.put("reached", known.reached()).put("nodes", known.nodes());
        ArrayNode names = entry.putArray("waiting_for");
        known.waitingFor().forEach(names::add);
        if (known.everywhere()) {
            lines.add(text);
            return;
        }
        failed = true;
        errors.add(text + " after " + DurationText.format(timeout) + "; waiting for "
                + String.join(", ", known.waitingFor()));
    }

    Result result() {
        ExitCode exitCode = failed ? ExitCode.FAILED : ExitCode.OK;
        return new Result(String.join("\n", lines), String.join("\n", errors), json, exitCode);
    }
}
