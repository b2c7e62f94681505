package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/**
 * Shutdown of a node within its grace period.
 *
 * <p>Guards against answers that are cut off during rolling restarts: a stream that arrived five seconds after the
 * signal was sent to an engine and cut two seconds later. The node had accepted, sent and retried requests without
 * comparing their expected duration with the remaining grace period, and gave open requests no final answer when it
 * ended: all connections were closed 7.6 s after the signal of a grace period of eight seconds, while the engines
 * were still sending events.
 */
class ServingShutdownTest {
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration STEPS_DURATION = Duration.ofMillis(700);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

    /** Status of an upstream that does not find an input of the request. */
    private static final int INPUTS_GONE = 409;

    /** Number of answers after which the expected duration of a route is known. */
    private static final int SAMPLE_COUNT = 8;

    /**
     * Completes streams that last this long from their first event, so that the node learns the duration of streams.
     */
    private static void completeStreams(ServingWorld world, Duration length, Integer... items) {
        List<RequestId> known = new ArrayList<>();
        for (int number = 0; number < SAMPLE_COUNT; number++) {
            known.add(request(world, "draft", items));
            world.run(TICK);
        }
        world.run(items.length == 0 ? Duration.ZERO : STEPS_DURATION);
        known.forEach(stream -> world.startAnswer(1, stream));
        world.run(length);
        for (RequestId stream : known) {
            world.endAttempt(1, stream, new SendEnd.Passed());
            world.run(TICK);
        }
    }

    private static RequestId request(ServingWorld world, String route, Integer... items) {
        RequestId id = new RequestId(route + "-" + world.now.toEpochMilli());
        world.request(1, id, "/" + route + "/1", Optional.of(ServingWorld.KEY), LONG_TIMEOUT, items);
        return id;
    }

    private static ServingWorld world(Duration grace) {
        ServingWorld world = new ServingWorld(1, grace);
        world.startServing(LONG_TIMEOUT);
        return world;
    }

    /**
     * A stream of five seconds arrives when 4.8 s are left. If it were accepted, it would be cut shortly before its
     * end; refused at once, it can be answered completely by another node.
     */
    @Test
    void aStreamThatLastsLongerThanWhatIsLeftIsRefused() {
        ServingWorld world = world(Duration.ofSeconds(8));
        completeStreams(world, Duration.ofSeconds(5));
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofMillis(2800));
        RequestId late = request(world, "draft");
        assertThat(world.sends(late)).isEmpty();
        assertThat(world.refusals(late))
                .singleElement()
                .satisfies(refuse -> assertThat(refuse.refusal().code()).isEqualTo(ResultCode.SHUTTING_DOWN));
    }

    /**
     * Guards against refusals during a long grace period: the node has 20 s, and its load balancer has no other node
     * in the zone and keeps sending. A stream of one second that arrives after four seconds must be served.
     */
    @Test
    void aStreamThatFitsIntoWhatIsLeftIsServed() {
        ServingWorld world = world(Duration.ofSeconds(20));
        completeStreams(world, Duration.ofSeconds(1));
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        RequestId stays = request(world, "lookup");
        world.run(Duration.ofSeconds(4));
        RequestId late = request(world, "draft");
        assertThat(world.sends(stays)).hasSize(1);
        assertThat(world.sends(late)).hasSize(1);
    }

    /**
     * A call hangs at its upstream when the node is asked to shut down, and its caller would wait longer than the
     * node lives. The caller must be told that the outcome is unknown instead of finding its connection closed.
     */
    @Test
    void aCallThatHangsIsAnsweredBeforeTheNodeEnds() {
        ServingWorld world = world(Duration.ofSeconds(4));
        RequestId hangs = request(world, "confirm");
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofSeconds(4));
        assertThat(world.effects(ServingEffect.DrainFinished.class)).hasSize(1);
        assertThat(world.refusals(hangs))
                .singleElement()
                .satisfies(refuse -> assertThat(refuse.refusal().run()).isEqualTo(RunState.UNKNOWN));
        assertThat(world.effects(ServingEffect.CancelSend.class)).hasSize(1);
    }

    /**
     * Guards against a stream that is still open at the end of the grace period and is closed by the process, without
     * a decision and without a log line.
     */
    @Test
    void anOpenStreamIsCutByADecision() {
        ServingWorld world = world(Duration.ofSeconds(4));
        RequestId open = request(world, "draft");
        world.startAnswer(1, open);
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofSeconds(4));
        assertThat(world.effects(ServingEffect.Cut.class))
                .extracting(ServingEffect.Cut::request)
                .containsExactly(open);
    }

    /**
     * An upstream fails 0.3 s before the end, and requests of its route take half a second. A retry at a second
     * upstream would be executed in vain, and the caller would find its connection closed.
     */
    @Test
    void noRetryGoesToAnUpstreamThatCannotAnswerInTime() {
        ServingWorld world = world(Duration.ofSeconds(4));
        for (int number = 0; number < SAMPLE_COUNT; number++) {
            RequestId known = request(world, "lookup");
            world.run(Duration.ofMillis(500));
            world.endAttempt(1, known, new SendEnd.Passed());
        }
        RequestId request = request(world, "lookup");
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofMillis(3300));
        world.endAttempt(1, request, new SendEnd.Broken("reset", Optional.empty()));
        assertThat(world.sends(request)).hasSize(1);
        assertThat(world.refusals(request))
                .singleElement()
                .satisfies(refuse -> assertThat(refuse.refusal().run()).isEqualTo(RunState.UNKNOWN));
    }

    /**
     * All requests are answered and the process closes its ports. A request that is read at that moment must not be
     * sent to an upstream, as its caller's connection closes without an answer.
     */
    @Test
    void nothingIsAcceptedOnceThePortsClose() {
        ServingWorld world = world(Duration.ofSeconds(8));
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofSeconds(3));
        assertThat(world.effects(ServingEffect.DrainFinished.class)).hasSize(1);
        world.handle(node(1), new ServingEvent.PortsClosing());
        RequestId crossing = request(world, "lookup");
        assertThat(world.sends(crossing)).isEmpty();
        assertThat(world.refusals(crossing))
                .singleElement()
                .satisfies(refuse -> assertThat(refuse.refusal().run()).isEqualTo(RunState.NOT_RUN));
    }

    /**
     * A node receives the signal during its startup and processes it three seconds later. If the grace period were
     * counted from then, the node would be killed with calls open that it expected to answer.
     */
    @Test
    void aNodeSignalledDuringItsStartupKnowsTheRemainingTime() {
        ServingWorld world = world(Duration.ofSeconds(4));
        RequestId hangs = request(world, "confirm");
        world.handle(node(1), new ServingEvent.DrainStarted(world.now.minusSeconds(3)));
        world.run(Duration.ofMillis(700));
        assertThat(world.effects(ServingEffect.DrainFinished.class)).hasSize(1);
        assertThat(world.refusals(hangs)).hasSize(1);
    }

    /**
     * Guards against a request that is sent without its inputs. An engine reports that it does not find the result of
     * a step; this close to the shutdown there is no time to repeat the step, but enough for one more attempt. The
     * node had dropped the results by then and sent the request to the second engine without inputs, so that the
     * answer ignored the attachment.
     */
    @Test
    void aRequestWhoseStepsCannotBeRepeatedIsNotSentWithoutInputs() {
        ServingWorld world = world(Duration.ofSeconds(4));
        // Steps take about 0.3 s: a stream takes 1.3 s from its arrival and 1 s from its sending, plus a quarter.
        completeStreams(world, Duration.ofSeconds(1), 1);
        RequestId request = request(world, "draft", 1);
        world.run(Duration.ofMillis(400));
        assertThat(world.sends(request)).singleElement().satisfies(order -> assertThat(order.inputs())
                .isNotEmpty());
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofMillis(3600 - 1550));
        world.endAttempt(1, request, new SendEnd.NotRun(INPUTS_GONE));
        assertThat(world.sends(request))
                .filteredOn(order -> order.inputs().isEmpty())
                .as("attempts without inputs")
                .isEmpty();
    }

    /**
     * The same without a shutdown: an engine reports twice that it does not find the results. They are produced again
     * only once; after the second report they had been dropped, and the request was sent to the next engine without
     * inputs.
     */
    @Test
    void aRequestWhoseInputsAreGoneTwiceIsNotSentWithoutInputs() {
        ServingWorld world = world(Duration.ofSeconds(8));
        world.register("model-3", ServingWorld.MODEL, ServingWorld.NORTH, false, Duration.ZERO);
        world.run(Duration.ofSeconds(1));
        RequestId request = request(world, "draft", 1);
        world.run(Duration.ofMillis(400));
        world.endAttempt(1, request, new SendEnd.NotRun(INPUTS_GONE));
        world.run(Duration.ofMillis(400));
        world.endAttempt(1, request, new SendEnd.NotRun(INPUTS_GONE));
        world.run(Duration.ofMillis(400));
        assertThat(world.sends(request))
                .filteredOn(order -> order.inputs().isEmpty())
                .as("attempts without inputs")
                .isEmpty();
    }

    /**
     * One request hung at its upstream until its caller's timeout; 20 later ones took 40 ms each. Guards against an
     * expected duration that the hanging request dominates: with a grace period of eight seconds, the node refused
     * all requests of the route from 1.4 s on, before the load balancer had noticed the shutdown.
     */
    @Test
    void oneCallThatHungDoesNotMakeAnEndingNodeRefuseItsRoute() {
        ServingWorld world = world(Duration.ofSeconds(8));
        RequestId hung = request(world, "lookup");
        world.run(Duration.ofSeconds(31));
        assertThat(world.refusals(hung)).hasSize(1);
        for (int number = 0; number < 20; number++) {
            RequestId usual = request(world, "lookup");
            world.run(Duration.ofMillis(40));
            world.endAttempt(1, usual, new SendEnd.Passed());
        }
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofMillis(1500));
        RequestId request = request(world, "lookup");
        assertThat(world.sends(request)).as("6.1 s are left for 40 ms").hasSize(1);
    }

    /**
     * A node has answered a single, short stream since its start, while streams usually last for seconds. Another one
     * arrives 0.85 s before the final answers. By the only known duration it would fit, but it would be executed by
     * an engine and then cut.
     */
    @Test
    void oneShortAnswerDoesNotAdmitAStreamThatIsCut() {
        ServingWorld world = world(Duration.ofSeconds(2));
        RequestId known = request(world, "draft");
        world.startAnswer(1, known);
        world.run(Duration.ofMillis(200));
        world.endAttempt(1, known, new SendEnd.Passed());
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofMillis(900));
        RequestId late = request(world, "draft");
        if (!world.sends(late).isEmpty()) {
            world.startAnswer(1, late);
        }
        world.run(Duration.ofMillis(1100));
        assertThat(world.effects(ServingEffect.Cut.class))
                .extracting(ServingEffect.Cut::request)
                .doesNotContain(late);
    }

    /**
     * A resumable stream keeps its results until its end. Guards against a node that runs out of time and exits
     * before the stage servers are told to release them: their room would be occupied for all nodes until the
     * lifetime of the results ends.
     */
    @Test
    void resultsAreReleasedBeforeTheNodeReportsItsEnd() {
        ServingWorld world = world(Duration.ofSeconds(4));
        RequestId open = request(world, "question", 1, 1);
        world.run(Duration.ofMillis(800));
        world.startAnswer(1, open);
        world.handle(node(1), new ServingEvent.DrainStarted(world.now));
        world.run(Duration.ofSeconds(4));
        List<ServingEffect> history = world.effectHistory;
        int ended = -1;
        int released = -1;
        for (int index = 0; index < history.size(); index++) {
            ended = history.get(index) instanceof ServingEffect.DrainFinished ? index : ended;
            released = history.get(index) instanceof ServingEffect.ReleaseResults ? index : released;
        }
        assertThat(ended).isPositive();
        assertThat(released).as("the last release").isLessThan(ended);
    }
}
