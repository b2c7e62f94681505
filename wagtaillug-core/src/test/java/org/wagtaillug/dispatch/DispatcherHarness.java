package org.wagtaillug.dispatch;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.configuration.Configuration;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.contract.Template;
import org.wagtaillug.drain.Drain;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.StageId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;
import org.wagtaillug.routing.LeastCompletionPolicy;

/** Drives a dispatcher step by step and records its inputs and effects as lines of text. */
final class DispatcherHarness implements Configuration, KeyClaims {
    static final Instant START = Instant.parse("2026-12-01T08:00:00Z");
    static final Duration GRACE_PERIOD = Duration.ofSeconds(8);

    final FakeUpstreams upstreams = new FakeUpstreams()
            .pool("encode", 2)
            .pool("retrieve", 2)
            .pool("rerank", 2)
            .pool("generate", 2)
            .pool("bookings", 2);
    final Drain drain = new Drain(GRACE_PERIOD);
    final Effects effects = new Effects();
    final List<String> lines = new ArrayList<>();
    final List<Effect> lastEffects = new ArrayList<>();
    final Dispatcher dispatcher;
    final Template draft = Template.builder("menu-draft")
            .stage(Stage.builder("encode").build())
            .stage(Stage.builder("retrieve").build())
            .stage(Stage.builder("rerank").build())
            .stage(Stage.builder("generate").work(StageWork.GENERATE).build())
            .build();
    final Template booking = Template.builder("booking")
            .idempotent(false)
            .stage(Stage.builder("book")
                    .work(StageWork.CALL)
                    .pool("bookings")
                    .attempts(1)
                    .hedge(false)
                    .build())
            .build();
    final CustomerContract customer = new CustomerContract(new CustomerId("office-nord"), 1, Map.of());
    private Instant now = START;

    DispatcherHarness(DispatchLimits limits) {
        dispatcher = new Dispatcher(
                limits, this, upstreams, new LeastCompletionPolicy(upstreams, new DomainId("a")), this, drain);
    }

    DispatcherHarness() {
        this(DispatchLimits.DEFAULT);
    }

    Instant now() {
        return now;
    }

    DispatcherHarness advance(long millis) {
        now = now.plusMillis(millis);
        lines.add("+ " + millis + " ms");
        dispatcher.onTick(now, effects);
        return collect();
    }

    DispatcherHarness arrive(String request, String template) {
        lines.add("> request " + request + " of " + template);
        Request.Builder builder = Request.builder(new RequestId(request), customer.id(), new TemplateId(template));
        if (template.equals("booking")) {
            builder.key(new IdempotencyKey(customer.id(), "key-of-" + request, START));
        }
        dispatcher.onRequest(builder.body(Payload.of("\"in\"")).build(), now, effects);
        return collect();
    }

    DispatcherHarness claimWon(String request) {
        lines.add("> claim won " + request);
        dispatcher.onClaimAcquired(new RequestId(request), now, effects);
        return collect();
    }

    DispatcherHarness disconnect(String request) {
        lines.add("> disconnected " + request);
        dispatcher.onCallerDisconnected(new RequestId(request), now, effects);
        return collect();
    }

    DispatcherHarness end(String request, String stage, int number, AttemptEnd end) {
        lines.add("> ended " + request + "/" + stage + "/" + number + " " + end);
        dispatcher.onEnded(new AttemptId(new RequestId(request), new StageId(stage), number), end, now, effects);
        return collect();
    }

    DispatcherHarness complete(String request, String stage, int number) {
        return end(request, stage, number, new AttemptEnd.Completed(Payload.of("\"" + stage + "\"")));
    }

    private DispatcherHarness collect() {
        lastEffects.clear();
        lastEffects.addAll(effects.drain());
        for (Effect effect : lastEffects) {
            lines.add("  < " + text(effect));
        }
        return this;
    }

    private static String text(Effect effect) {
        return switch (effect) {
            case Effect.StartAttempt start ->
                "start " + start.attempt().id() + " at "
                        + start.attempt().upstream().id();
            case Effect.CancelAttempt cancel -> "cancel " + cancel.attempt();
            case Effect.AnswerServed served ->
                "served " + served.request() + " with " + served.output().text();
            case Effect.AnswerRefused refused ->
                "refused " + refused.request() + " " + refused.refusal().code() + " "
                        + refused.refusal().run().text() + ", come back in "
                        + refused.refusal().retryAfter().toMillis() + " ms";
            case Effect.LogDecision log -> "log " + log.decision().kind();
            default -> effect.toString();
        };
    }

    /** The attempts that the last step started. */
    List<Attempt> started() {
        List<Attempt> started = new ArrayList<>();
        for (Effect effect : lastEffects) {
            if (effect instanceof Effect.StartAttempt start) {
                started.add(start.attempt());
            }
        }
        return started;
    }

    /** The refusal that the last step returned. */
    Optional<Effect.AnswerRefused> refused() {
        for (Effect effect : lastEffects) {
            if (effect instanceof Effect.AnswerRefused refused) {
                return Optional.of(refused);
            }
        }
        return Optional.empty();
    }

    boolean served() {
        return lastEffects.stream().anyMatch(effect -> effect instanceof Effect.AnswerServed);
    }

    static String golden(String name) {
        try (var in = DispatcherHarness.class.getResourceAsStream("/golden/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }

    @Override
    public Optional<VersionedTemplate> template(TemplateId id) {
        if (id.equals(draft.id())) {
            return Optional.of(new VersionedTemplate(7, draft));
        }
        return id.equals(booking.id()) ? Optional.of(new VersionedTemplate(8, booking)) : Optional.empty();
    }

    @Override
    public Collection<TemplateId> templates() {
        return List.of(draft.id(), booking.id());
    }

    @Override
    public Optional<CustomerContract> customer(CustomerId id) {
        return id.equals(customer.id()) ? Optional.of(customer) : Optional.empty();
    }

    @Override
    public Collection<CustomerId> customers() {
        return List.of(customer.id());
    }

    @Override
    public PoolContract pool(PoolId id) {
        return PoolContract.unspecified(id);
    }

    @Override
    public Collection<PlacementContract> placements() {
        return List.of();
    }

    @Override
    public boolean inService(Vm vm) {
        return true;
    }

    @Override
    public long through() {
        return 8;
    }

    @Override
    public void requestClaim(
            RequestId request, IdempotencyKey key, String bodyDigest, Instant deadline, Instant at, Effects out) {
        lines.add("  < claim " + key.identity());
    }

    @Override
    public void recordOutcome(
            RequestId request, ResultCode code, RunState run, Payload output, Instant at, Effects out) {
        lines.add("  < settle " + request + " " + code + " " + run.text());
    }

    @Override
    public void abandon(RequestId request, Instant at, Effects out) {
        lines.add("  < abandon " + request);
    }
}
