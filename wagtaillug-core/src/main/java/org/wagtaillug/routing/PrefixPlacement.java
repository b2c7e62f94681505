package org.wagtaillug.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;

/**
 * Determines the home engines of prefix segments: those that are likely to have them cached.
 *
 * <p>Every node assigns the same engines to a segment by rendezvous hashing, so requests that share it reach the same caches
 * without coordination between nodes. A rarely requested segment has one home: with several, each engine would read it
 * separately, and most of its requests would miss the cache. A segment that carries much of the load gets a number of homes
 * in proportion, because a single engine would become the bottleneck. A segment that is not longer than the preceding one
 * is placed among the homes of that one, because it is useless without it and reading the longer one again costs more. A
 * longer segment is placed independently: otherwise all sessions of a house would share the few engines of that house, and a
 * node that has sent few prompts of a house assigns it only one engine.
 */
final class PrefixPlacement {
    /** Homes are provisioned for this many times a segment's load, because engines serve other load too. */
    private static final int OVERPROVISION_FACTOR = 2;

    /** Without demand samples, one engine in this many is a home of a segment that several sessions share. */
    private static final int ENGINES_PER_FIXED_HOME = 4;

    private final PolicyFeatures features;
    private final Rendezvous rendezvous = new Rendezvous();
    private final PrefixDemand demand = new PrefixDemand();
    private final PrefixHistory history = new PrefixHistory();

    PrefixPlacement(PolicyFeatures features) {
        this.features = features;
    }

    /** Records that a prompt was sent to an engine. */
    void onSent(List<PrefixSegment> segments, int promptTokens, VmId engine, Instant now) {
        demand.onPrompt(segments, promptTokens, now);
        history.onSent(segments, engine, now);
    }

    /** Forgets an engine that has restarted with an empty cache. */
    void forget(VmId engine) {
        history.forget(engine);
    }

    /** The homes of each segment of a prompt, in the order of the segments. */
    List<Set<VmId>> homes(List<PrefixSegment> segments, List<Upstream> engines, Instant now) {
        boolean byDemand = features.uses(PolicyFeature.HOMES_BY_DEMAND) && demand.hasEnoughSamples(now);
        List<Set<VmId>> homes = new ArrayList<>();
        List<Upstream> candidates = engines;
        for (int index = 0; index < segments.size(); index++) {
            PrefixSegment segment = segments.get(index);
            boolean last = index == segments.size() - 1;
            int count = byDemand ? homesByDemand(segment, engines.size()) : fixedHomes(last, engines.size());
            List<Upstream> homeEngines = highestScoring(segment, candidates, count);
            Set<VmId> ids = new HashSet<>();
            homeEngines.forEach(engine -> ids.add(engine.id()));
            homes.add(ids);
            boolean nextIsLonger = !last && segments.get(index + 1).tokens() > segment.tokens();
            candidates = byDemand && !nextIsLonger ? homeEngines : engines;
        }
        return homes;
    }

    /** The engines with the highest rendezvous scores for a segment, computing each score once. */
    private List<Upstream> highestScoring(PrefixSegment segment, List<Upstream> engines, int count) {
        if (count >= engines.size()) {
            return engines;
        }
        Comparator<Scored> lowestFirst = Comparator.comparingLong(Scored::score);
        PriorityQueue<Scored> highest = new PriorityQueue<>(count + 1, lowestFirst);
        for (Upstream engine : engines) {
            long score = rendezvous.score(segment.id(), engine.id().value());
            if (highest.size() == count && score <= highest.peek().score()) {
                continue;
            }
            highest.add(new Scored(engine, score));
            if (highest.size() > count) {
                highest.remove();
            }
        }
        List<Upstream> selected = new ArrayList<>();
        highest.forEach(scored -> selected.add(scored.engine()));
        return selected;
    }

    private record Scored(Upstream engine, long score) {}

    private int homesByDemand(PrefixSegment segment, int engines) {
        return (int) Math.max(1, Math.ceil(OVERPROVISION_FACTOR * demand.share(segment) * engines));
    }

    private static int fixedHomes(boolean last, int engines) {
        return last ? 1 : Math.max(1, engines / ENGINES_PER_FIXED_HOME);
    }

    /**
     * Estimates how many tokens of the segments an engine does not have cached. An engine that has a segment cached also has
     * the preceding ones, because they arrived in the same request.
     */
    long uncachedTokens(List<PrefixSegment> segments, List<Set<VmId>> homes, VmId engine, Instant now) {
        long uncachedTokens = 0;
        for (int index = segments.size() - 1; index >= 0; index--) {
            PrefixSegment segment = segments.get(index);
            boolean recentlySent =
                    features.uses(PolicyFeature.SENT_PARTS) && history.recentlySent(segment, engine, now);
            if (recentlySent || homes.get(index).contains(engine)) {
                return uncachedTokens;
            }
            uncachedTokens += segment.tokens();
        }
        return uncachedTokens;
    }
}
