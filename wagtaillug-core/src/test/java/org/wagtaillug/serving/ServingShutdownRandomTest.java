package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.result.RunState;

/**
 * Random sessions, reproducible by seed, in which a node shuts down under load, with varying grace periods, timeouts
 * and upstream speeds; some upstreams hang or fail.
 *
 * <p>Guards against streams that are cut and requests that end without an answer during restarts: requests were
 * accepted without regard to the remaining grace period, and open requests got no final answer at its end.
 *
 * <p>More runs: {@code -Dwagtaillug.shutdown.runs=10000}.
 */
class ServingShutdownRandomTest {
    private static final int RUNS = Integer.getInteger("wagtaillug.shutdown.runs", 200);
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final List<String> ROUTES = List.of("confirm", "lookup", "draft", "question");

    /** What callers and upstreams observe of one request. */
    private static final class Observed {
        private final Instant requestedAt;
        private final boolean hanging;
        private int sends;
        private int finalAnswers;

        private Observed(Instant requestedAt, boolean hanging) {
            this.requestedAt = requestedAt;
            this.hanging = hanging;
        }
    }

    private record ScheduledEvent(Instant at, RequestId request, int attempt, Optional<SendEnd> end) {}

    @Test
    void everyRequestAcceptedDuringShutdownIsAnswered() {
        for (long seed = 1; seed <= RUNS; seed++) {
            new Session(seed).run();
        }
    }

    private static final class Session {
        private final long seed;
        private final Random random;
        private final Duration grace;
        private final Duration callerTimeout;
        private final Map<String, Duration> durations = new HashMap<>();
        private final ServingWorld world;
        private final Map<RequestId, Observed> requests = new HashMap<>();
        private final List<ScheduledEvent> scheduledEvents = new ArrayList<>();
        private Optional<Instant> signalAt = Optional.empty();
        private boolean nodeEnded;
        private boolean portsClosed;
        private int checked;

        private Session(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            this.grace = Duration.ofMillis(1000 + random.nextInt(19_000));
            this.callerTimeout = Duration.ofMillis(500 + random.nextInt(29_500));
            for (String route : ROUTES) {
                durations.put(route, Duration.ofMillis(10 + random.nextInt(5000)));
            }
            world = new ServingWorld(1, grace);
        }

        private void run() {
            world.startServing(callerTimeout);
            check();
            runLoad(WARM_UP);
            signalAt = Optional.of(world.now);
            world.handle(node(1), new ServingEvent.DrainStarted(world.now));
            runLoad(grace);
            assertThat(nodeEnded).as("the node has ended, seed %d", seed).isTrue();
            requests.forEach((id, observed) -> assertThat(observed.finalAnswers)
                    .as(
                            "final answers of %s, asked at %s, signal at %s, seed %d",
                            id, observed.requestedAt, signalAt, seed)
                    .isEqualTo(1));
        }

        private void runLoad(Duration time) {
            Instant until = world.now.plus(time);
            while (world.now.isBefore(until)) {
                if (random.nextInt(8) == 0) {
                    sendRequest();
                }
                world.run(TICK);
                check();
                deliverScheduledEvents();
                closePorts();
            }
        }

        /** Closes the ports, as the process does once the node has ended and all answers are written. */
        private void closePorts() {
            boolean open = requests.values().stream().anyMatch(observed -> observed.finalAnswers == 0);
            if (nodeEnded && !portsClosed && !open) {
                portsClosed = true;
                world.handle(node(1), new ServingEvent.PortsClosing());
                check();
            }
        }

        private void sendRequest() {
            String route = ROUTES.get(random.nextInt(ROUTES.size()));
            RequestId id = new RequestId(route + "-" + requests.size());
            requests.put(id, new Observed(world.now, random.nextInt(20) == 0));
            world.request(
                    1,
                    id,
                    "/" + route + "/1",
                    Optional.of(ServingWorld.KEY),
                    callerTimeout,
                    random.nextInt(3),
                    random.nextInt(3));
            check();
        }

        private void deliverScheduledEvents() {
            for (ScheduledEvent due : List.copyOf(scheduledEvents)) {
                if (due.at().isAfter(world.now)) {
                    continue;
                }
                scheduledEvents.remove(due);
                if (due.end().isEmpty()) {
                    world.handle(node(1), new ServingEvent.AnswerStarted(due.request(), due.attempt()));
                } else {
                    world.handle(
                            node(1),
                            new ServingEvent.SendEnded(
                                    due.request(), due.attempt(), due.end().get()));
                }
                check();
            }
        }

        private void check() {
            while (checked < world.effectHistory.size()) {
                check(world.effectHistory.get(checked));
                checked++;
            }
        }

        private void check(ServingEffect effect) {
            switch (effect) {
                case ServingEffect.Send send -> sent(send.order());
                case ServingEffect.CancelSend cancel ->
                    scheduledEvents.removeIf(due -> due.request().equals(cancel.request()));
                case ServingEffect.Refuse refuse -> {
                    Observed observed = requests.get(refuse.request());
                    observed.finalAnswers++;
                    boolean notRun = refuse.refusal().run() == RunState.NOT_RUN;
                    assertThat(notRun && observed.sends > 0)
                            .as("%s was sent and is refused as not run, seed %d", refuse.request(), seed)
                            .isFalse();
                }
                case ServingEffect.ForwardFailure forward -> requests.get(forward.request()).finalAnswers++;
                case ServingEffect.Cut cut -> cut(cut.request());
                case ServingEffect.Finished finished -> passed(finished);
                case ServingEffect.DrainFinished ignored -> nodeEnded = true;
                default -> {
                    // Not visible to callers or upstreams.
                }
            }
        }

        private void passed(ServingEffect.Finished finished) {
            if (finished.outcome() == ServingEffect.Outcome.PASSED) {
                requests.get(finished.request()).finalAnswers++;
            }
        }

        private void cut(RequestId request) {
            Observed observed = requests.get(request);
            observed.finalAnswers++;
            boolean patient = world.now.isBefore(observed.requestedAt.plus(callerTimeout));
            boolean late = signalAt.isPresent() && !observed.requestedAt.isBefore(signalAt.get());
            assertThat(late && patient && !observed.hanging)
                    .as(
                            "%s, asked at %s after the signal at %s, was cut, seed %d",
                            request, observed.requestedAt, signalAt, seed)
                    .isFalse();
        }

        /** An upstream takes about the typical time of its route, hangs, or fails before it answers. */
        private void sent(SendOrder order) {
            Observed observed = requests.get(order.request());
            assertThat(portsClosed)
                    .as("%s is sent after the ports were closed, seed %d", order.request(), seed)
                    .isFalse();
            observed.sends++;
            if (observed.hanging) {
                return;
            }
            Duration usual = durations.get(order.request().value().split("-")[0]);
            Duration takes = usual.multipliedBy(80 + random.nextInt(21)).dividedBy(100);
            if (random.nextInt(30) == 0) {
                SendEnd broken = new SendEnd.Broken("reset", Optional.empty());
                scheduledEvents.add(new ScheduledEvent(
                        world.now.plus(takes), order.request(), order.attempt(), Optional.of(broken)));
                return;
            }
            scheduledEvents.add(new ScheduledEvent(
                    world.now.plus(takes.dividedBy(4)), order.request(), order.attempt(), Optional.empty()));
            scheduledEvents.add(new ScheduledEvent(
                    world.now.plus(takes), order.request(), order.attempt(), Optional.of(new SendEnd.Passed())));
        }
    }
}
