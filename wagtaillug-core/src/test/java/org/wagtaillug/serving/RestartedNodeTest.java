package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.id.RequestId;

/** A node that has restarted under the address of its previous run, which had work in progress at other nodes. */
class RestartedNodeTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ServingWorld world = new ServingWorld(4);
    private final Set<RequestId> ofEndedRun = new HashSet<>();

    /** Guards against inputs of another request: a late reply to an order of the previous run has the same number. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aReplyToAnOrderOfThePreviousRunIsNotTakenForThatOfAnotherRequest(boolean namesNoRecipients) {
        if (namesNoRecipients) {
            world.nodes.keySet().forEach(world.earlierBuilds::add);
        }
        List<RequestId> requests = requestsAfterARestart();
        assertThat(requests).allSatisfy(request -> assertThat(world.sends(request))
                .isNotEmpty()
                .allSatisfy(send -> assertThat(send.inputs())
                        .allSatisfy(input -> assertThat(requestOf(input)).isEqualTo(request))));
    }

    /** Guards against stage servers that fill up: nobody else knows the results of an order of an ended run. */
    @Test
    void resultsForThePreviousRunAreReleasedOnce() {
        requestsAfterARestart();
        world.run(Duration.ofSeconds(5));
        assertThat(resultsOfEndedRun()).isNotEmpty().allSatisfy(result -> assertThat(world.releaseCounts)
                .containsEntry(result, 1));
    }

    /** Guards against work for nobody: items of an ended run that are still queued are not called. */
    @Test
    void queuedOrdersOfThePreviousRunAreDropped() {
        int restarted = startServing();
        for (int round = 0; round < 8; round++) {
            ofEndedRun.add(world.request(restarted, "draft", 6));
        }
        world.run(Duration.ofMillis(40));
        world.start(node(restarted), 2);
        world.run(Duration.ofMillis(200));
        int before = world.batchCalls.size();
        world.run(SECOND);
        List<RequestId> called = new ArrayList<>();
        for (BatchCall call : world.batchCalls.subList(before, world.batchCalls.size())) {
            call.items().forEach(item -> called.add(item.request()));
        }
        assertThat(called).doesNotContainAnyElementsOf(ofEndedRun);
    }

    /** Restarts a node with orders in progress at another one, whose replies take longer than the restart. */
    private List<RequestId> requestsAfterARestart() {
        int restarted = startServing();
        world.answerDelay = Duration.ofMillis(900);
        ofEndedRun.add(world.request(restarted, "draft", 1));
        ofEndedRun.add(world.request(restarted, "draft", 2));
        world.run(Duration.ofMillis(40));
        world.start(node(restarted), 2);
        world.run(Duration.ofMillis(700));
        List<RequestId> requests = List.of(world.request(restarted, "draft", 1), world.request(restarted, "draft", 2));
        world.run(Duration.ofSeconds(3));
        return requests;
    }

    /** Returns the number of a node that does not schedule the pool of the first step. */
    private int startServing() {
        world.startServing();
        world.request(3, "draft", 1);
        world.run(SECOND);
        boolean first = world.effectsByNode.get(node(1)).stream().noneMatch(ServingEffect.CallBatch.class::isInstance);
        return first ? 1 : 2;
    }

    private RequestId requestOf(String result) {
        return items().get(Integer.parseInt(result.substring("result-".length())) - 1)
                .request();
    }

    private List<BatchCall.Item> items() {
        List<BatchCall.Item> items = new ArrayList<>();
        world.batchCalls.forEach(call -> items.addAll(call.items()));
        return items;
    }

    private List<String> resultsOfEndedRun() {
        List<String> results = new ArrayList<>();
        for (int number = 1; number <= items().size(); number++) {
            String result = "result-" + number;
            if (ofEndedRun.contains(requestOf(result))) {
                results.add(result);
            }
        }
        return results;
    }
}
