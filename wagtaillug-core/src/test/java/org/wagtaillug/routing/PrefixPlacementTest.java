package org.wagtaillug.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.PoolProfile;

/** Twelve engines and six nodes that do not share state. */
class PrefixPlacementTest {
    private static final PoolId POOL = new PoolId("model");
    private static final DomainId DOMAIN = new DomainId("north");
    private static final PoolProfile ENGINES = new PoolProfile(POOL, 3000, 0, Optional.empty(), true);
    private static final int MANUALS = 100;
    private static final int MANUAL_TOKENS = 13_000;
    private static final int UNIQUE_TOKENS = 3_000;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final List<UpstreamChooser> nodes = new ArrayList<>();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");

    @BeforeEach
    void start() {
        for (int number = 0; number < 12; number++) {
            directory.onListing(
                    new Listing(new VmId("i-" + number), 1, POOL, "10.0.0.1", 80, DOMAIN, false, Duration.ZERO, ""),
                    now);
        }
        for (int node = 0; node < 6; node++) {
            nodes.add(new UpstreamChooser(
                    directory,
                    new UpstreamHealth(),
                    new UpstreamLimits(
                            new Roster(new VmId("node")),
                            new WarmupRateLimiter(),
                            new UpstreamLimits.ColdBound(1.5, 5)),
                    DOMAIN,
                    PolicyFeatures.ALL));
        }
    }

    private static UpstreamChooser.Prompt prompt(String manual) {
        return new UpstreamChooser.Prompt(
                List.of(new PrefixSegment(manual, MANUAL_TOKENS)), MANUAL_TOKENS + UNIQUE_TOKENS, Optional.empty(), 0);
    }

    /** Sends a prompt from a node; the engine has read it before the next one arrives. */
    private VmId send(int node, UpstreamChooser.Prompt prompt) {
        now = now.plusMillis(50);
        UpstreamChooser chooser = nodes.get(node);
        VmId engine =
                chooser.choose(ENGINES, Set.of(), prompt, now).orElseThrow().id();
        chooser.onSent(engine, prompt, now);
        chooser.onPromptRead(engine, prompt.tokens());
        return engine;
    }

    @Test
    void aRarelyRequestedManualIsReadByOneEngine() {
        // A hundred manuals are each requested rarely, through all nodes. With a quarter of the engines as homes of
        // each manual, every second request would miss the cache and wait until another engine has read the manual
        // again.
        for (int warm = 0; warm < 60; warm++) {
            send(warm % 6, prompt("other-" + warm));
        }
        int engines = 0;
        for (int manual = 0; manual < MANUALS; manual++) {
            Set<VmId> enginesRead = new HashSet<>();
            for (int node = 0; node < 6; node++) {
                enginesRead.add(send(node, prompt("manual-" + manual)));
            }
            engines += enginesRead.size();
        }
        assertThat(engines).isEqualTo(MANUALS);
    }

    @Test
    void aPopularManualGetsMoreEngines() {
        // Half of all requests are for one manual. With a single engine as its home, requests would queue there while
        // the other engines are idle.
        Set<VmId> enginesRead = new HashSet<>();
        for (int request = 0; request < 60; request++) {
            send(0, prompt("other-" + request));
            nodes.get(0).onSent(new VmId("i-0"), prompt("hot"), now);
        }
        for (int request = 0; request < 40; request++) {
            VmId engine = nodes.get(0)
                    .choose(ENGINES, Set.of(), prompt("hot"), now)
                    .orElseThrow()
                    .id();
            nodes.get(0).onSent(engine, prompt("hot"), now);
            enginesRead.add(engine);
        }
        assertThat(enginesRead).hasSizeGreaterThanOrEqualTo(6);
    }

    @Test
    void laterRequestsSpillOverToTheSameEngine() {
        // The home of a manual has a long queue when further requests for the manual arrive one after another. The
        // first spills over to another engine, which reads the manual; without the history, each further one would make
        // yet another engine read it.
        for (int warm = 0; warm < 150; warm++) {
            send(0, prompt("other-" + warm));
        }
        UpstreamChooser node = nodes.get(0);
        VmId home = send(0, prompt("manual"));
        node.onSent(home, prompt("busy"), now);
        node.onSent(home, prompt("busy"), now);
        VmId second = send(0, prompt("manual"));
        assertThat(second).isNotEqualTo(home);
        assertThat(send(0, prompt("manual"))).isEqualTo(second);
        node.onRestarted(second);
        assertThat(node.cachedTokens(directory.find(second).orElseThrow(), prompt("manual"), now))
                .isZero();
    }
}
