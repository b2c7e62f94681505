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
import org.wagtaillug.tool.AdministrationClient.Exchange;

/** Sends one change so that it takes effect at most once, and finds out what came of it. */
final class ChangeSender {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/admin/changes";
    private static final Duration PAUSE = Duration.ofMillis(200);

    private final AdministrationClient client;
    private final Surroundings surroundings;
    private final Duration timeout;

    ChangeSender(AdministrationClient client, Surroundings surroundings, Duration timeout) {
        this.client = client;
        this.surroundings = surroundings;
        this.timeout = timeout;
    }

    /**
     * A change to send.
     *
     * @param key what it changes
     * @param base the version that it is made from
     * @param body the new body
     */
    record Change(String key, long base, Body body) {}

    /** What came of a change. */
    sealed interface Outcome {
        /**
         * It won.
         *
         * @param version its own, the key's newest
         */
        record Accepted(long version) implements Outcome {}

        /**
         * It was made from a version that was no longer the newest, and had no effect.
         *
         * @param winner the version that is in force instead; empty if no node would say
         */
        record Crossed(Optional<Long> winner) implements Outcome {}

        /**
         * It had no effect.
         *
         * @param failure why
         */
        record Failed(ToolFailure failure) implements Outcome {}

        /**
         * Nobody could be found who knows.
         *
         * @param reason what went wrong
         * @param entry what the key holds now; empty if no node would say or there is none
         * @param asSent whether that is what was sent
         */
        record Unknown(String reason, Optional<ConfigurationView.Entry> entry, boolean asSent) implements Outcome {}
    }

    /** Sends a change to the first node that can be reached. */
    Outcome send(Change change) {
        ObjectNode message = message(change);
        List<String> reasons = new ArrayList<>();
        for (String node : client.nodes()) {
            switch (client.post(node, PATH, message)) {
                case Exchange.Answered answered -> {
                    if (answered.status() == AdministrationClient.OK) {
                        return accepted(node, answered);
                    }
                    Answers.Refusal refusal = Answers.refusal(answered);
                    if (refusal.run() != RunState.NOT_RUN) {
                        return askAgain(node, change, message, refusal.message());
                    }
                    if (refusal.crossed()) {
                        return new Outcome.Crossed(winner(node, change.key()));
                    }
                    if (!refusal.anotherNodeMayServe()) {
                        return new Outcome.Failed(refusal.failure(node));
                    }
                    reasons.add(node + ": " + refusal.message());
                }
                case Exchange.NotReached notReached -> reasons.add(node + ": " + notReached.reason());
                case Exchange.Lost lost -> {
                    return askAgain(node, change, message, lost.reason());
                }
            }
        }
        return new Outcome.Failed(new ToolFailure.Unreachable(reasons));
    }

    /**
     * The answer was lost after the change may have taken effect; the operator would see an error though the change is in
     * force, or send it twice. The same node is asked again with the same change id, which it answers with the outcome of
     * the first sending. Another node is never sent the change: it might not know the id yet.
     */
    private Outcome askAgain(String node, Change change, ObjectNode message, String firstReason) {
        String reason = node + ": " + firstReason;
        Instant latest = surroundings.time().instant().plus(timeout);
        while (surroundings.time().instant().isBefore(latest)) {
            surroundings.pause().pause(PAUSE);
            Exchange exchange = client.post(node, PATH, message);
            if (!(exchange instanceof Exchange.Answered answered)) {
                continue;
            }
            if (answered.status() == AdministrationClient.OK) {
                return accepted(node, answered);
            }
            Answers.Refusal refusal = Answers.refusal(answered);
            reason = node + ": " + refusal.message();
            if (refusal.run() == RunState.NOT_RUN) {
                break;
            }
        }
        return unknown(change, reason);
    }

    /**
     * Also a refusal of the second sending ends here: a node that was started anew in between does not know the first one
     * and would call the change crossed by itself.
     */
    private Outcome unknown(Change change, String reason) {
        Optional<ConfigurationView> view = ConfigurationView.read(client).toJavaOptional();
        Optional<ConfigurationView.Entry> entry = view.flatMap(shown -> shown.entry(change.key()));
        boolean asSent = entry.isPresent()
                && entry.get().version() > change.base()
                && entry.get().holds(change.body());
        return new Outcome.Unknown(reason, entry, asSent);
    }

    /** Asks the node that refused: another one may not have read the winner yet. */
    private Optional<Long> winner(String node, String key) {
        return ConfigurationView.read(client, node).map(view -> view.version(key));
    }

    private static Outcome accepted(String node, Exchange.Answered answered) {
        long version = answered.body().path("version").asLong(0);
        if (version > 0) {
            return new Outcome.Accepted(version);
        }
        String reason = node + ": the answer names no version";
        return new Outcome.Unknown(reason, Optional.empty(), false);
    }

    private static ObjectNode message(Change change) {
        ObjectNode message = JSON.createObjectNode();
        message.put("key", change.key());
        message.put("base", change.base());
        message.put("change_id", UUID.randomUUID().toString());
        try {
            message.set("body", JSON.readTree(Contracts.toJson(change.body())));
        } catch (JsonProcessingException fault) {
            throw new IllegalStateException("a body's own JSON cannot be read", fault);
        }
        return message;
    }
}
