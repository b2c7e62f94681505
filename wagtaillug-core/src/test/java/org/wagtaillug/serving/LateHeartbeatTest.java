package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.NORTH;
import static org.wagtaillug.serving.ServingWorld.ORDERS;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/** Heartbeats that the store executes seconds after they were sent, when the upstream has told more since. */
class LateHeartbeatTest {
    private static final int NODES = 5;
    private static final VmId UPSTREAM = new VmId("orders-1");
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final boolean READY = false;
    private static final boolean LEAVING = true;

    private final ServingWorld world = new ServingWorld(NODES);

    @BeforeEach
    void startServing() {
        world.startServing();
    }

    private void heartbeat(long incarnation, long sequence, boolean leaving) {
        Listing listing = new Listing(UPSTREAM, incarnation, ORDERS, "10.0.0.1", 80, NORTH, leaving, Duration.ZERO, "");
        world.write(FeedName.DIRECTORY, UPSTREAM.value(), new DirectoryItem.Listed(listing.withSequence(sequence)));
        world.run(SECOND);
    }

    private void remove() {
        world.remove(FeedName.DIRECTORY, UPSTREAM.value());
        world.run(SECOND);
    }

    /** Returns the nodes that send requests to the upstream. */
    private Set<VmId> users() {
        Set<VmId> users = new HashSet<>();
        for (int number = 1; number <= NODES; number++) {
            for (int count = 0; count < 4; count++) {
                RequestId request = world.request(number, "lookup");
                if (world.sends(request).getLast().upstream().id().equals(UPSTREAM)) {
                    users.add(node(number));
                }
                world.endAttempt(number, request, new SendEnd.Passed());
            }
        }
        return users;
    }

    /** Guards against requests to a leaving upstream after an older heartbeat of it has appeared in the store. */
    @Test
    void aLateHeartbeatDoesNotPutALeavingUpstreamBackIntoUse() {
        heartbeat(1, 4, READY);
        heartbeat(1, 6, LEAVING);
        heartbeat(1, 5, READY);
        assertThat(users()).isEmpty();
        heartbeat(1, 7, LEAVING);
        assertThat(users()).isEmpty();
    }

    /** Guards against requests to an upstream that has left, by a heartbeat from before the removal of its entry. */
    @Test
    void aLateHeartbeatDoesNotPutARemovedUpstreamBackIntoUse() {
        heartbeat(1, 4, READY);
        remove();
        heartbeat(1, 3, READY);
        assertThat(users()).isEmpty();
        heartbeat(1, 5, READY);
        assertThat(users()).isEmpty();
        world.run(SECOND.multipliedBy(2));
        remove();
        assertThat(users()).isEmpty();
    }

    /** Guards against an earlier run of an upstream that comes back to life by a late heartbeat. */
    @Test
    void aLateHeartbeatOfAnEarlierRunIsIgnored() {
        heartbeat(2, 4, READY);
        remove();
        heartbeat(1, 9, READY);
        heartbeat(1, 10, READY);
        assertThat(users()).isEmpty();
    }

    /** Guards against an upstream that stays out of use after the store has dropped its entry by mistake. */
    @Test
    void aRemovedUpstreamThatGoesOnSendingHeartbeatsIsUsedAgain() {
        heartbeat(1, 4, READY);
        remove();
        heartbeat(1, 9, READY);
        heartbeat(1, 10, READY);
        assertThat(users()).hasSize(NODES);
    }

    /** Guards against a node that never uses it again, as the relay of a heartbeat to it was lost. */
    @Test
    void aRemovedUpstreamWhoseEntryStaysIsUsedAgain() {
        heartbeat(1, 4, READY);
        remove();
        heartbeat(1, 9, READY);
        world.run(SECOND.multipliedBy(7));
        assertThat(users()).hasSize(NODES);
    }

    @Test
    void anUpstreamThatRestartsUnderItsIdCountsAnew() {
        heartbeat(1, 4, LEAVING);
        heartbeat(2, 1, READY);
        assertThat(users()).hasSize(NODES);
        remove();
        heartbeat(3, 1, READY);
        assertThat(users()).hasSize(NODES);
    }

    @Test
    void entriesWithoutSequenceAreTakenAsTheyCome() {
        heartbeat(1, 0, LEAVING);
        heartbeat(1, 0, READY);
        assertThat(users()).hasSize(NODES);
        remove();
        heartbeat(1, 0, READY);
        assertThat(users()).hasSize(NODES);
    }

    @Test
    void sequencesOfAnUpstreamThatDoesNotTellItsStartAreIgnored() {
        heartbeat(0, 9, LEAVING);
        heartbeat(0, 1, READY);
        assertThat(users()).hasSize(NODES);
    }
}
