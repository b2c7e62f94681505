package org.wagtaillug.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.wagtaillug.contract.Body;
import org.wagtaillug.result.RunState;
import org.wagtaillug.settings.Contracts;
import org.wagtaillug.tool.AdministrationClient.CallResult;

/** Sends a change so that it takes effect at most once, and determines its outcome. */
final class ChangeSender {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/admin/changes";
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(200);

    private final AdministrationClient client;
    private final ToolEnvironment environment;
    private final Duration timeout;

    ChangeSender(AdministrationClient client, ToolEnvironment environment, Duration timeout) {
        this.client = client;
        this.environment = environment;
        this.timeout = timeout;
    }

    /**
     * A change to send.
     *
     * @param key the key to change
     * @param base the version that the change is based on
     * @param body the new body
     */
    record Change(String key, long base, Body body) {}

    /** The outcome of a change. */
    sealed interface Outcome {
        /**
         * The change was accepted.
         *
         * @param version its version, now the newest of the key
         */
        record Accepted(long version) implements Outcome {}

        /**
         * The change was based on a version that was no longer the newest, and had no effect.
         *
         * @param currentVersion the version in force instead; empty if the node did not report it
         */
        record Conflict(Optional<Long> currentVersion) implements Outcome {}

        /**
         * The change failed and had no effect.
         *
         * @param failure why
         */
        record Failed(ToolFailure failure) implements Outcome {}

        /**
         * It could not be determined whether the change took effect.
         *
         * @param reason what went wrong
         * @param entry the current entry of the key; empty if no node responds or the key does not exist
         * @param matchesSent whether the entry is newer than the base and equal to the body that was sent
         */
        record Unknown(String reason, Optional<ConfigurationView.Entry> entry, boolean matchesSent)
                implements Outcome {}
    }

    /** Sends a change to the first node that can be reached. */
    Outcome send(Change change) {
        ObjectNode message = message(change);
        List<String> reasons = new ArrayList<>();
        for (String node : client.nodes()) {
            switch (client.post(node, PATH, message)) {
                case CallResult.Response response -> {
                    if (response.status() == AdministrationClient.OK) {
                        return accepted(node, response);
                    }
                    ErrorResponses.Refusal refusal = ErrorResponses.parse(response);
                    if (refusal.run() != RunState.NOT_RUN) {
                        return resend(node, change, message, refusal.message());
                    }
                    if (refusal.isConflict()) {
                        return new Outcome.Conflict(currentVersion(node, change.key()));
                    }
                    if (!refusal.retryableOnOtherNode()) {
                        return new Outcome.Failed(refusal.failure(node));
                    }
                    reasons.add(node + ": " + refusal.message());
                }
                case CallResult.NotSent notSent -> reasons.add(node + ": " + notSent.reason());
                case CallResult.NoResponse noResponse -> {
                    return resend(node, change, message, noResponse.reason());
                }
            }
        }
        return new Outcome.Failed(new ToolFailure.Unreachable(reasons));
    }

    /**
     * Resends the change to the same node after a response was lost or the outcome was unknown. The change may have taken
     * effect: without the resend, the operator would see an error for a change that is in force, or would send it twice. The
     * resend has the same change id, so the node responds with the outcome of the first attempt. The change is never sent to
     * another node, which might not know the id yet.
     */
    private Outcome resend(String node, Change change, ObjectNode message, String firstReason) {
        String reason = node + ": " + firstReason;
        Instant deadline = environment.clock().instant().plus(timeout);
        while (environment.clock().instant().isBefore(deadline)) {
            environment.sleeper().sleep(RESEND_INTERVAL);
            CallResult result = client.post(node, PATH, message);
            if (!(result instanceof CallResult.Response response)) {
                continue;
            }
            if (response.status() == AdministrationClient.OK) {
                return accepted(node, response);
            }
            ErrorResponses.Refusal refusal = ErrorResponses.parse(response);
            reason = node + ": " + refusal.message();
            if (refusal.run() == RunState.NOT_RUN) {
                break;
            }
        }
        return unknownOutcome(change, reason);
    }

    /**
     * The outcome is unknown also when the resend is refused: a node that restarted in between no longer knows the change id
     * and reports a conflict with the change's own first attempt.
     */
    private Outcome unknownOutcome(Change change, String reason) {
        Optional<ConfigurationView> view = ConfigurationView.read(client).toJavaOptional();
        Optional<ConfigurationView.Entry> entry = view.flatMap(configuration -> configuration.entry(change.key()));
        boolean matchesSent = entry.isPresent()
                && entry.get().version() > change.base()
                && entry.get().hasBody(change.body());
        return new Outcome.Unknown(reason, entry, matchesSent);
    }

    /** Reads from the node that refused the change: another one may not have read the conflicting change yet. */
    private Optional<Long> currentVersion(String node, String key) {
        return ConfigurationView.read(client, node).map(view -> view.version(key));
    }

    private static Outcome accepted(String node, CallResult.Response response) {
        long version = response.body().path("version").asLong(0);
        if (version > 0) {
            return new Outcome.Accepted(version);
        }
        String reason = node + ": the response contains no version";
        return new Outcome.Unknown(reason, Optional.empty(), false);
    }

    private static ObjectNode message(Change change) {
        ObjectNode message = JSON.createObjectNode();
        message.put("key", change.key());
        message.put("base", change.base());
        message.put("change_id", UUID.randomUUID().toString());
        try {
            message.set("body", JSON.readTree(Contracts.toJson(change.body())));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot parse the JSON generated from a contract body", exception);
        }
        return message;
    }
}
