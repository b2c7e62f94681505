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

/** Collects the outcomes of the changes of one command. */
final class ChangeReport {
    private final List<String> lines = new ArrayList<>();
    private final List<String> errors = new ArrayList<>();
    private final ObjectNode json = JsonNodeFactory.instance.objectNode();
    private final ArrayNode changes = json.putArray("changes");
    private long newestVersion;
    private boolean failed;

    /** The newest version that a change of the command got or found in force; 0 if none. */
    long newestVersion() {
        return newestVersion;
    }

    boolean failed() {
        return failed;
    }

    void addUnchanged(String key, long version) {
        lines.add(key + ": unchanged, version " + version);
        entry(key, "unchanged").put("version", version);
        newestVersion = Math.max(newestVersion, version);
    }

    void addNotSent(String key) {
        errors.add(key + ": not sent, because an earlier change failed");
        entry(key, "not-sent");
    }

    void add(String key, long base, Outcome outcome) {
        failed = !(outcome instanceof Outcome.Accepted);
        switch (outcome) {
            case Outcome.Accepted accepted -> {
                newestVersion = accepted.version();
                lines.add(key + ": accepted as version " + accepted.version());
                entry(key, "accepted").put("version", accepted.version());
            }
            case Outcome.Conflict conflict -> {
                String currentVersion = conflict.currentVersion()
                        .map(version -> "version " + version)
                        .orElse("another change");
                errors.add(key + ": not accepted: " + currentVersion + " is in force; this change is based on version "
                        + base + ". Run diff and publish again");
                ObjectNode entry = entry(key, "crossed").put("base", base);
                conflict.currentVersion().ifPresent(version -> entry.put("winner", version));
            }
            case Outcome.Failed rejected -> {
                errors.add(key + ": not accepted: " + rejected.failure().message());
                entry(key, "failed").put("message", rejected.failure().message());
            }
            case Outcome.Unknown unknown -> addUnknown(key, unknown);
        }
    }

    private void addUnknown(String key, Outcome.Unknown unknown) {
        String currentState = unknown.entry()
                .map(entry -> "; the key is now at version " + entry.version() + ", which "
                        + (unknown.matchesSent()
                                ? "has the content that was sent"
                                : "does not have the content that was sent"))
                .orElse("");
        errors.add(key + ": outcome unknown (" + unknown.reason() + ")" + currentState);
        ObjectNode entry = entry(key, "unknown").put("message", unknown.reason());
        unknown.entry().ifPresent(current -> entry.put("version", current.version()));
        entry.put("as_sent", unknown.matchesSent());
    }

    private ObjectNode entry(String key, String outcome) {
        return changes.addObject().put("key", key).put("outcome", outcome);
    }

    void addPropagation(Either<ToolFailure, PropagationWaiter.Propagation> result, Duration timeout) {
        if (result.isLeft()) {
            failed = true;
            errors.add("cannot determine whether version " + newestVersion + " is in force: "
                    + result.getLeft().message());
            json.putObject("in_force").put("version", newestVersion).put("in_force", false);
            return;
        }
        PropagationWaiter.Propagation propagation = result.get();
        String text = "in force on " + propagation.reachedNodes() + " of " + propagation.totalNodes() + " nodes";
        ObjectNode entry = json.putObject("in_force").put("version", newestVersion);
        entry.put("in_force", propagation.isComplete());
        entry.put("reached", propagation.reachedNodes()).put("nodes", propagation.totalNodes());
        ArrayNode names = entry.putArray("waiting_for");
        propagation.pendingNodes().forEach(names::add);
        if (propagation.isComplete()) {
            lines.add(text);
            return;
        }
        failed = true;
        errors.add(text + " after " + DurationText.format(timeout) + "; waiting for "
                + String.join(", ", propagation.pendingNodes()));
    }

    Result result() {
        ExitCode exitCode = failed ? ExitCode.FAILED : ExitCode.OK;
        return new Result(String.join("\n", lines), String.join("\n", errors), json, exitCode);
    }
}
