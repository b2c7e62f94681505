package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.NORTH;
import static org.wagtaillug.serving.ServingWorld.ORDERS;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.node.Decision;
import org.wagtaillug.notice.UpstreamNotice;

/** Nodes whose upstreams report their load in their answers. */
class LoadReportsTest {
    private static final VmId UPSTREAM = new VmId("orders-1");
    private static final UpstreamNotice SLOW =
            UpstreamNotice.builder().load(new ServerLoad(8, 4, 8, 2.5)).build();
    private static final UpstreamNotice MALFORMED =
            UpstreamNotice.builder().malformedLoad("busy").build();

    private final ServingWorld world = new ServingWorld(3);

    @BeforeEach
    void serve() {
        world.startServing();
    }

    private VmId targetOf(RequestId request) {
        return world.sends(request).getLast().upstream().id();
    }

    /** Lets a node send a request, which is answered after 20 ms with this notice. Returns its upstream. */
    private VmId answered(int node, UpstreamNotice notice) {
        RequestId request = world.request(node, "lookup");
        world.run(Duration.ofMillis(20));
        end(node, request, notice);
        return targetOf(request);
    }

    private void end(int node, RequestId request, UpstreamNotice notice) {
        int attempt = world.sends(request).getLast().attempt();
        world.handle(
                node(node), new ServingEvent.SendEnded(request, attempt, new SendEnd.Passed(), Optional.of(notice)));
    }

    /** Lets the first node get answers with malformed reports. */
    private void answerAtOnce(int count) {
        for (int number = 0; number < count; number++) {
            end(1, world.request(1, "lookup"), MALFORMED);
        }
    }

    private List<Decision> decisions(String kind) {
        return world.effects(ServingEffect.LogDecision.class).stream()
                .map(ServingEffect.LogDecision::decision)
                .filter(decision -> decision.kind().equals(kind))
                .toList();
    }

    private void restartUpstream() {
        Listing listing = new Listing(UPSTREAM, 2, ORDERS, "10.0.0.1", 80, NORTH, false, Duration.ZERO, "");
        world.write(FeedName.DIRECTORY, UPSTREAM.value(), new DirectoryItem.Listed(listing));
        world.run(Duration.ofMillis(500));
    }

    @Test
    void theUpstreamThatReportsSlowWorkIsAvoidedAndTheLineShowsWhy() {
        assertThat(answered(1, SLOW)).isEqualTo(UPSTREAM);
        world.run(Duration.ofMillis(40));
        RequestId request = world.request(1, "lookup");
        assertThat(targetOf(request)).isNotEqualTo(UPSTREAM);
        end(1, request, SLOW);
        world.request(1, "lookup");
        Decision last = decisions("send").getLast();
        assertThat(last.fields()).containsKeys("slowdown", "load_age_ms");
        assertThat(decisions("send").getFirst().fields()).doesNotContainKeys("slowdown", "load_age_ms");
        world.run(Duration.ofMillis(200));
        List<ServingEffect.LoadObserved> observed = world.effects(ServingEffect.LoadObserved.class);
        assertThat(observed.stream()
                        .mapToLong(ServingEffect.LoadObserved::reports)
                        .sum())
                .isEqualTo(2);
        assertThat(observed.getFirst().slowdown()).isBetween(1.2, 2.5);
    }

    /** Guards against an upstream that is shunned after it has stopped reporting the duration of work. */
    @Test
    void anUpstreamThatChangesToThreeFiguresIsSoonChosenAsBefore() {
        answered(1, SLOW);
        assertThat(answered(1, UpstreamNotice.NONE)).isNotEqualTo(UPSTREAM);
        world.run(Duration.ofSeconds(20));
        RequestId first = world.request(1, "lookup");
        RequestId second = world.request(1, "lookup");
        assertThat(List.of(targetOf(first), targetOf(second))).contains(UPSTREAM);
        end(1, first, UpstreamNotice.NONE);
        end(1, second, SLOW);
        assertThat(targetOf(world.request(1, "lookup"))).isEqualTo(targetOf(first));
    }

    /** Guards against the load of an earlier run, also from an answer that arrives after the restart. */
    @Test
    void theReportOfARestartedUpstreamIsForgotten() {
        RequestId late = world.request(1, "lookup");
        assertThat(targetOf(late)).isEqualTo(UPSTREAM);
        world.request(1, "lookup");
        restartUpstream();
        end(1, late, SLOW);
        for (int count = 0; count < 8; count++) {
            world.request(1, "lookup");
        }
        assertThat(decisions("send")).noneMatch(line -> line.fields().containsKey("slowdown"));
    }

    @Test
    void theReportOfAnUpstreamThatIsNoLongerListedIsForgotten() {
        answered(1, SLOW);
        world.remove(FeedName.DIRECTORY, UPSTREAM.value());
        world.run(Duration.ofSeconds(1));
        world.register(UPSTREAM.value(), ORDERS, NORTH, false, Duration.ZERO);
        world.run(Duration.ofSeconds(1));
        for (int count = 0; count < 8; count++) {
            world.request(1, "lookup");
        }
        assertThat(decisions("send")).noneMatch(line -> line.fields().containsKey("slowdown"));
    }

    /** Guards against a log that a faulty upstream fills. */
    @Test
    void malformedReportsGiveOneLineEachMinute() {
        answerAtOnce(500);
        assertThat(decisions("load_malformed")).isEmpty();
        answered(1, SLOW);
        answerAtOnce(3000);
        assertThat(decisions("load_malformed")).hasSize(1);
        world.run(Duration.ofSeconds(61));
        answerAtOnce(2);
        assertThat(decisions("load_malformed")).hasSize(2);
        assertThat(decisions("load_malformed").getLast().fields()).containsEntry("count", "3000");
        world.run(Duration.ofMillis(200));
        assertThat(world.effects(ServingEffect.LoadObserved.class).stream()
                        .mapToLong(ServingEffect.LoadObserved::malformed)
                        .sum())
                .isEqualTo(3002);
    }

    /** Guards against an unreadable rate limit that ends an earlier one because a load comes with it. */
    @Test
    void aLoadBesideAnUnreadableRateLimitKeepsTheEarlierLimit() {
        answered(1, UpstreamNotice.builder().rateLimit(50).build());
        world.run(Duration.ofSeconds(1));
        answered(
                1,
                UpstreamNotice.builder()
                        .load(SLOW.load().orElseThrow())
                        .limitUnreadable()
                        .build());
        assertThat(decisions("rate_limit")).allMatch(line -> line.fields().containsValue("50.0"));
    }
}
