package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wagtaillug.configuration.Configuration.VersionedTemplate;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.result.Payload;

/**
 * The state of one request as it passes through the stages of its template. The template version is fixed on arrival.
 */
final class RequestFlow {
    private final Request request;
    private final VersionedTemplate template;
    private final Instant arrivedAt;
    private final Instant deadline;
    private final double worth;
    private final boolean idempotent;

    private final List<LiveAttempt> live = new ArrayList<>();
    private final Set<VmId> tried = new HashSet<>();
    private int stageIndex;
    private int attemptsInStage;
    private int attempts;
    private Payload input;
    private boolean claimed;
    private boolean sent;
    private boolean waiting;
    private boolean awaitingClaim;
    private String lastFailure = "";

    RequestFlow(Request request, VersionedTemplate template, Terms terms, Instant arrivedAt) {
        this.request = request;
        this.template = template;
        this.arrivedAt = arrivedAt;
        this.deadline = terms.deadline();
        this.worth = terms.worth();
        this.idempotent = terms.idempotent();
        this.input = request.body();
    }

    /**
     * The parameters of this request that follow from its customer and its template.
     *
     * @param deadline the time by which it must be answered
     * @param worth the value of serving it in time, relative to other requests
     * @param idempotent whether it is safe to run it more than once
     */
    record Terms(Instant deadline, double worth, boolean idempotent) {}

    Request request() {
        return request;
    }

    VersionedTemplate template() {
        return template;
    }

    Instant arrivedAt() {
        return arrivedAt;
    }

    Instant deadline() {
        return deadline;
    }

    /** The time until the deadline; negative once it has passed. */
    Duration remainingTime(Instant now) {
        return Duration.between(now, deadline);
    }

    double worth() {
        return worth;
    }

    boolean idempotent() {
        return idempotent;
    }

    Stage stage() {
        return template.template().stages().get(stageIndex);
    }

    List<Stage> remainingStages() {
        List<Stage> stages = template.template().stages();
        return stages.subList(stageIndex, stages.size());
    }

    /**
     * Moves on to the next stage, with the output of this one as its input; returns false if this was the last stage.
     */
    boolean advance(Payload output) {
        input = output;
        attemptsInStage = 0;
        tried.clear();
        stageIndex++;
        return stageIndex < template.template().stages().size();
    }

    Payload input() {
        return input;
    }

    List<LiveAttempt> live() {
        return live;
    }

    Set<VmId> tried() {
        return tried;
    }

    int attemptsInStage() {
        return attemptsInStage;
    }

    AttemptId nextAttempt() {
        attempts++;
        attemptsInStage++;
        return new AttemptId(request.id(), stage().id(), attempts);
    }

    int attempts() {
        return attempts;
    }

    /** Whether this node holds the claim of the idempotency key. */
    boolean claimed() {
        return claimed;
    }

    void markClaimed() {
        claimed = true;
        awaitingClaim = false;
    }

    boolean awaitingClaim() {
        return awaitingClaim;
    }

    void markAwaitingClaim() {
        awaitingClaim = true;
    }

    /** Whether a byte of any attempt may have reached an upstream. */
    boolean sent() {
        return sent;
    }

    void markSent() {
        sent = true;
    }

    boolean waiting() {
        return waiting;
    }

    void markWaiting(boolean value) {
        waiting = value;
    }

    String lastFailure() {
        return lastFailure;
    }

    void recordFailure(String text) {
        lastFailure = text;
    }
}
