package org.wagtaillug.serving;

import java.time.Instant;
import java.util.function.Function;
import org.wagtaillug.clock.WallClock;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.load.LoadView;
import org.wagtaillug.policy.ContentionSwitch;

/**
 * What a node knows of the upstreams.
 *
 * @param directory the registered upstreams
 * @param health their health, as observed through this node's attempts
 * @param paths how requests get to them
 * @param wallClock compares this node's time with the start times of upstreams
 * @param directoryConfirmation tells whether the directory contains all entries from before a time
 * @param contention whether the policy features for contended upstreams are in effect
 * @param load the load that they report
 */
record UpstreamState(
        UpstreamDirectory directory,
        UpstreamHealth health,
        UpstreamPaths paths,
        WallClock wallClock,
        Function<Instant, FeedExchange.Confirmation> directoryConfirmation,
        ContentionSwitch contention,
        LoadView load) {}
