package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.NORTH;
import static org.wagtaillug.serving.ServingWorld.SOUTH;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.feed.ConfigurationItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

class FeedExchangeTest {
    private static final int NODES = 20;

    private final ServingWorld world = new ServingWorld(NODES);

    @BeforeEach
    void startNodes() {
        world.startServing();
        world.run(Duration.ofSeconds(4));
    }

    private Set<VmId> readersWithin(Duration time) {
        world.effectsByNode.values().forEach(List::clear);
        world.run(time);
        Set<VmId> readers = new TreeSet<>();
        world.effectsByNode.forEach((vm, effects) -> {
            if (effects.stream().anyMatch(ServingEffect.ReadFeed.class::isInstance)) {
                readers.add(vm);
            }
        });
        return readers;
    }

    private void takeSouthOutOfService() {
        world.write(FeedName.CONFIGURATION, "out/south", new ConfigurationItem.DomainService(SOUTH, true));
    }

    private void assertThatAllSendNorth() {
        for (int number = 1; number <= NODES; number++) {
            if (world.failed.contains(node(number))) {
                continue;
            }
            for (int count = 0; count < 3; count++) {
                RequestId request = world.request(number, "lookup");
                assertThat(world.sends(request))
                        .extracting(order -> order.upstream().domain())
                        .containsExactly(NORTH);
            }
        }
    }

    /** Guards against a load on the store that grows with the number of nodes. */
    @Test
    void twoNodesOfAFailureDomainReadTheStore() {
        assertThat(readersWithin(Duration.ofSeconds(4))).hasSize(2);
    }

    @Test
    void followersLearnOfAChangeAtOnce() {
        takeSouthOutOfService();
        world.run(Duration.ofMillis(400));
        assertThatAllSendNorth();
    }

    /** Guards against followers that keep an old configuration because the store refuses the reads of their readers. */
    @Test
    void theNextCandidatesReadWhenTheStoreRefusesTheReaders() {
        world.refusedByStore.addAll(readersWithin(Duration.ofSeconds(3)));
        world.run(Duration.ofMillis(300));
        takeSouthOutOfService();
        world.run(Duration.ofMillis(1100));
        assertThatAllSendNorth();
    }

    /** Guards against followers that wait for failed readers. */
    @Test
    void followersLearnOfAChangeAfterTheirReadersFailed() {
        world.failed.addAll(readersWithin(Duration.ofSeconds(3)));
        takeSouthOutOfService();
        world.run(Duration.ofMillis(2600));
        assertThatAllSendNorth();
    }

    /** Guards against requests to a server whose removal stands behind a record of another writer in the same read. */
    @Test
    void aRecordThatCannotBeHandledDoesNotHideThoseBehindIt() {
        world.write(FeedName.DIRECTORY, "foreign", "not an item of the directory");
        world.remove(FeedName.DIRECTORY, "orders-2");
        world.run(Duration.ofSeconds(2));
        assertThatAllSendNorth();
    }

    /** Guards against the same for a node that lists the store when it starts. */
    @Test
    void aNodeThatStartsListsRecordsBesideOneThatCannotBeHandled() {
        world.write(FeedName.DIRECTORY, "foreign", "not an item of the directory");
        world.remove(FeedName.DIRECTORY, "orders-2");
        world.start(node(5), 2);
        world.run(Duration.ofSeconds(3));
        assertThatAllSendNorth();
    }

    @Test
    void aRestartedNodeFollowsAgain() {
        Set<VmId> readers = readersWithin(Duration.ofSeconds(3));
        VmId restarted = readers.contains(node(5)) ? node(6) : node(5);
        world.start(restarted, 2);
        world.run(Duration.ofSeconds(3));
        assertThat(readersWithin(Duration.ofSeconds(3))).isEqualTo(readers);
    }
}
