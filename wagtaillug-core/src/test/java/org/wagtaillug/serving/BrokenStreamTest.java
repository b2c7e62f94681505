package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.MODEL;
import static org.wagtaillug.serving.ServingWorld.NORTH;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/** Streams of a route with two attempts whose answers break off after they have begun. */
class BrokenStreamTest {
    private static final Duration MOMENT = Duration.ofMillis(100);

    private final ServingWorld world = new ServingWorld(1);

    @BeforeEach
    void startServing() {
        world.startServing();
        for (int number = 3; number <= 6; number++) {
            world.register(MODEL + "-" + number, MODEL, NORTH, false, Duration.ZERO);
        }
        // A node retries nothing before the window of its budget has passed.
        world.run(Duration.ofSeconds(12));
        for (int count = 0; count < 60; count++) {
            world.endAttempt(1, stream(), new SendEnd.Passed(true));
        }
    }

    private RequestId stream() {
        RequestId request = world.request(1, "question", 0, 0);
        world.startAnswer(1, request);
        return request;
    }

    /** Breaks the answer off after its first event, and lets the next attempt begin to answer if there is one. */
    private void breakOff(RequestId request) {
        int sends = world.sends(request).size();
        world.endAttempt(1, request, new SendEnd.Broken("connection reset", Optional.of("" + sends)));
    }

    private void answerAgain(RequestId request, int sends) {
        world.run(MOMENT);
        assertThat(world.sends(request)).hasSize(sends);
        world.startAnswer(1, request);
    }

    private boolean cut(RequestId request) {
        return world.effects(ServingEffect.Cut.class).stream()
                .anyMatch(effect -> effect.request().equals(request));
    }

    /** Guards against streams that run on more servers than their route allows, while all of these go on. */
    @Test
    void aStreamThatTwoUpstreamsBrokeOffAliveIsNotSentToAThird() {
        RequestId request = stream();
        breakOff(request);
        answerAgain(request, 2);
        world.run(MOMENT);
        breakOff(request);
        world.run(MOMENT);
        assertThat(world.sends(request)).hasSize(2);
        assertThat(cut(request)).isTrue();
    }

    /** Guards against streams that are given up although their upstreams have ended, which count for nothing. */
    @Test
    void aStreamWhoseUpstreamHasEndedGoesOnAtAThird() {
        RequestId request = stream();
        breakOff(request);
        answerAgain(request, 2);
        world.run(MOMENT);
        world.endedUpstreams.add(world.sends(request).getLast().upstream().id());
        breakOff(request);
        world.run(MOMENT);
        answerAgain(request, 3);
        breakOff(request);
        world.run(MOMENT);
        assertThat(world.sends(request)).hasSize(3);
        assertThat(cut(request)).isTrue();
    }

    /** Guards against streams that are given up as their upstreams were cut off and do not refuse connections. */
    @Test
    void aStreamWhoseUpstreamsAreCutOffGoesOn() {
        RequestId request = stream();
        breakOff(request);
        answerAgain(request, 2);
        world.withoutUpstreams.put(node(1), Duration.ofMillis(400));
        breakOff(request);
        world.run(Duration.ofMillis(300));
        assertThat(cut(request)).isFalse();
        world.withoutUpstreams.clear();
        world.run(Duration.ofMillis(300));
        answerAgain(request, 3);
    }

    /** Guards against a wait for upstreams whose entries show that they have ended or restarted. */
    @Test
    void anUpstreamWhoseEntryIsGoneHasEnded() {
        RequestId request = stream();
        breakOff(request);
        answerAgain(request, 2);
        VmId second = world.sends(request).getLast().upstream().id();
        world.remove(FeedName.DIRECTORY, second.value());
        world.run(Duration.ofSeconds(2));
        breakOff(request);
        answerAgain(request, 3);
    }

    /** Guards against a probe for each of the streams that one reset breaks off. */
    @Test
    void anUpstreamIsProbedOnceForManyStreams() {
        List<RequestId> requests = new ArrayList<>();
        for (int count = 0; count < 5; count++) {
            requests.add(stream());
        }
        requests.forEach(this::breakOff);
        requests.forEach(request -> answerAgain(request, 2));
        Set<VmId> upstreams = new HashSet<>();
        requests.forEach(request -> world.sends(request)
                .forEach(send -> upstreams.add(send.upstream().id())));
        world.run(MOMENT);
        requests.forEach(this::breakOff);
        assertThat(world.effects(ServingEffect.ProbeUpstream.class)).hasSizeLessThanOrEqualTo(upstreams.size());
        world.run(MOMENT);
        assertThat(requests)
                .allSatisfy(request -> assertThat(world.sends(request)).hasSize(2));
    }

    /** Guards against a stream that waits for a probe after its caller has left, or past its deadline. */
    @Test
    void aStreamWhoseCallerLeavesMeanwhileIsNotSent() {
        RequestId request = stream();
        breakOff(request);
        answerAgain(request, 2);
        world.endedUpstreams.add(world.sends(request).getLast().upstream().id());
        breakOff(request);
        world.handle(node(1), new ServingEvent.CallerDisconnected(request));
        world.run(MOMENT);
        assertThat(world.sends(request)).hasSize(2);
    }
}
