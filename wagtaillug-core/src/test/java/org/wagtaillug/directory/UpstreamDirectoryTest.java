package org.wagtaillug.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

class UpstreamDirectoryTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("orders");
    private static final DomainId NORTH = new DomainId("north");
    private static final VmId ID = new VmId("i-1");

    private final UpstreamDirectory directory = new UpstreamDirectory();

    private static Listing listing(long incarnation, boolean leaving) {
        return new Listing(ID, incarnation, POOL, "10.0.0.1", 80, NORTH, leaving, Duration.ZERO, "");
    }

    @Test
    void aDomainOutOfServiceHasNoUsableUpstreams() {
        directory.onListing(listing(1, false), NOW);
        directory.onDomain(NORTH, true);
        assertThat(directory.usable(POOL)).isEmpty();
        directory.onDomain(NORTH, false);
        assertThat(directory.usable(POOL)).hasSize(1);
    }

    @Test
    void anEntryThatExpiresInAStoreOutageIsKeptForTwoSeconds() {
        // The entries of all servers expired during an outage of the store. Removing them immediately would empty every
        // pool although all servers work; keeping them forever would route requests to servers that died meanwhile.
        directory.onListing(listing(1, false), NOW);
        directory.onRemoved(ID, NOW.plusSeconds(2), NOW);
        assertThat(directory.usable(POOL)).hasSize(1);
        assertThat(directory.onTick(NOW.plusMillis(1999))).isEmpty();
        assertThat(directory.onTick(NOW.plusSeconds(2))).containsExactly(ID);
        assertThat(directory.usable(POOL)).isEmpty();
    }

    @Test
    void anEntryThatReappearsAfterAnOutageIsNotRemoved() {
        directory.onListing(listing(1, false), NOW);
        directory.onRemoved(ID, NOW.plusSeconds(2), NOW);
        directory.onListing(listing(1, false), NOW.plusSeconds(1));
        assertThat(directory.onTick(NOW.plusSeconds(5))).isEmpty();
    }

    @Test
    void aRemovalWithoutAnOutageTakesEffectImmediately() {
        directory.onListing(listing(1, false), NOW);
        assertThat(directory.onRemoved(ID, NOW, NOW)).isEqualTo(UpstreamDirectory.Change.LEFT);
        assertThat(directory.usable(ID)).isFalse();
    }

    @Test
    void aNewIncarnationUnderTheSameIdIsReportedAsARestart() {
        directory.onListing(listing(1, false), NOW);
        assertThat(directory.onListing(listing(2, false), NOW)).isEqualTo(UpstreamDirectory.Change.RESTARTED);
        assertThat(directory.onListing(listing(2, true), NOW)).isEqualTo(UpstreamDirectory.Change.LEFT);
    }

    @Test
    void afterAConnectionFailureAnUpstreamIsColdUntilItsNextListing() {
        directory.onListing(listing(1, false), NOW);
        directory.onConnectionFailure(ID, NOW.plusSeconds(2));
        assertThat(directory.find(ID).orElseThrow().cold(NOW.plusSeconds(1))).isTrue();
        directory.onListing(listing(1, false), NOW.plusSeconds(1));
        assertThat(directory.find(ID).orElseThrow().cold(NOW.plusSeconds(1))).isFalse();
    }
}
