package org.wagtaillug.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.directory.VersionRule;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.LoadEstimate;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.PoolProfile;

/** Selects the upstream of a request. */
public final class UpstreamChooser {
    /** Round-trip time added by another failure domain; the one-way delay of the links is about a millisecond. */
    private static final Duration CROSS_DOMAIN_ROUND_TRIP = Duration.ofMillis(2);

    /** Assumed request duration for a server without samples. */
    private static final Duration DEFAULT_DURATION = Duration.ofMillis(25);

    /** How much each running request delays the reading of a prompt, in tokens: its share of the engine's steps. */
    private static final int DECODE_LOAD_TOKENS = 150;

    /** Cost of transferring a megabyte between failure domains, as the equivalent number of prompt tokens. */
    private static final int CROSS_DOMAIN_TOKENS_PER_MEGABYTE = 170;

    private static final int MEGABYTE = 1_000_000;

    /**
     * The prompt of a request to an engine, as far as routing needs it.
     *
     * @param segments the segments that other requests may share, in order
     * @param tokens the length of the whole prompt
     * @param inputsDomain the failure domain that holds most of its inputs
     * @param inputBytes the size of the inputs
     */
    public record Prompt(List<PrefixSegment> segments, int tokens, Optional<DomainId> inputsDomain, long inputBytes) {
        /** Makes a defensive copy of the list. */
        public Prompt {
            segments = List.copyOf(segments);
        }
    }

    private final Map<VmId, Long> queuedPromptTokens = new HashMap<>();

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final UpstreamLimits limits;
    private final DomainId domain;
    private final PolicyFeatures features;
    private final LoadEstimate load;
    private final PrefixPlacement placement;
    private final Rendezvous rendezvous = new Rendezvous();
    private Prompt lastPrompt;
    private List<Set<VmId>> lastHomes = List.of();

    /** Creates a chooser for a node in a failure domain. */
    public UpstreamChooser(
            UpstreamDirectory directory,
            UpstreamHealth health,
            UpstreamLimits limits,
            DomainId domain,
            PolicyFeatures features) {
        this(directory, health, limits, domain, features, LoadEstimate.off());
    }

    /** Creates the same for upstreams that report their load. */
    public UpstreamChooser(
            UpstreamDirectory directory,
            UpstreamHealth health,
            UpstreamLimits limits,
            DomainId domain,
            PolicyFeatures features,
            LoadEstimate load) {
        this.load = load;
        this.directory = directory;
        this.health = health;
        this.limits = limits;
        this.domain = domain;
        this.features = features;
        this.placement = new PrefixPlacement(features);
    }

    /**
     * Selects the upstream for a request that any version may serve.
     *
     * @param tried upstreams to exclude because the request was sent there before
     * @param prompt the prompt for an engine; ignored for other upstreams
     * @return empty if no upstream is eligible
     */
    public Optional<Upstream> choose(PoolProfile pool, Set<VmId> tried, Prompt prompt, Instant now) {
        return choose(pool, VersionRule.ANY, tried, prompt, now);
    }

    /**
     * Selects the upstream for a request.
     *
     * @param versions the versions that may serve it
     * @param tried upstreams to exclude because the request was sent there before
     * @param prompt the prompt for an engine; ignored for other upstreams
     * @return empty if no upstream is eligible
     */
    public Optional<Upstream> choose(
            PoolProfile pool, VersionRule versions, Set<VmId> tried, Prompt prompt, Instant now) {
        List<Upstream> eligible = eligible(pool, versions, tried, now);
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        List<Upstream> healthy = new ArrayList<>(eligible);
        healthy.removeIf(upstream -> !health.usable(upstream.id(), now));
        // Falls back to suspended servers when there is no other: suspicion alone must not make a pool unavailable.
        List<Upstream> candidates = healthy.isEmpty() ? eligible : healthy;
        if (pool.engine()) {
            return Optional.of(selectEngine(candidates, prompt, now));
        }
        if (load.inEffect()) {
            return Optional.of(selectByLoad(candidates, now));
        }
        return candidates.stream()
                .min(Comparator.comparing(this::expectedCompletion).thenComparing(Upstream::id));
    }

    /**
     * The first of some upstreams that this node's limits allow.
     *
     * @param versions the versions that may serve the request
     * @param preferred the upstreams, in order
     * @param tried upstreams to exclude because the request was sent there before
     * @return empty if none is allowed and healthy
     */
    public Optional<Upstream> firstAllowed(
            PoolProfile pool, VersionRule versions, List<VmId> preferred, Set<VmId> tried, Instant now) {
        if (preferred.isEmpty()) {
            return Optional.empty();
        }
        List<Upstream> eligible = eligible(pool, versions, tried, now);
        for (VmId id : preferred) {
            for (Upstream upstream : eligible) {
                if (upstream.id().equals(id) && health.usable(id, now)) {
                    return Optional.of(upstream);
                }
            }
        }
        return Optional.empty();
    }

    private List<Upstream> eligible(PoolProfile pool, VersionRule versions, Set<VmId> tried, Instant now) {
        List<Upstream> eligible = new ArrayList<>();
        for (Upstream upstream : directory.usable(pool.id(), versions)) {
            boolean allowed = limits.allow(pool, upstream, health.inFlight(upstream.id()), now);
            if (allowed && !tried.contains(upstream.id())) {
                eligible.add(upstream);
            }
        }
        return eligible;
    }

    /** Whether what upstreams announce allows a request to an untried one of them by a time. */
    public boolean announcementsAllow(List<Upstream> upstreams, Set<VmId> tried, Instant time, Instant now) {
        return upstreams.stream()
                .anyMatch(upstream -> !tried.contains(upstream.id()) && limits.announcementsAllow(upstream, time, now));
    }

    /** The server with the earliest expected completion by the load that servers report; ties are broken by the node. */
    private Upstream selectByLoad(List<Upstream> candidates, Instant now) {
        Upstream best = candidates.getFirst();
        Duration earliest = completionByLoad(best, now);
        for (Upstream upstream : candidates.subList(1, candidates.size())) {
            Duration completion = completionByLoad(upstream, now);
            int order = completion.compareTo(earliest);
            if (order < 0 || (order == 0 && load.position(upstream.id()) < load.position(best.id()))) {
                best = upstream;
                earliest = completion;
            }
        }
        return best;
    }

    private Duration completionByLoad(Upstream upstream, Instant now) {
        int inFlight = health.inFlight(upstream.id());
        return withRoundTrip(upstream, load.completion(upstream.id(), durationOf(upstream), inFlight, now));
    }

    private Duration expectedCompletion(Upstream upstream) {
        return withRoundTrip(upstream, durationOf(upstream).multipliedBy(health.inFlight(upstream.id()) + 1L));
    }

    private Duration durationOf(Upstream upstream) {
        return features.uses(PolicyFeature.LATENCY_CHOICE)
                ? health.expected(upstream.id()).orElse(DEFAULT_DURATION)
                : DEFAULT_DURATION;
    }

    private Duration withRoundTrip(Upstream upstream, Duration total) {
        return upstream.domain().equals(domain) ? total : total.plus(CROSS_DOMAIN_ROUND_TRIP);
    }

    /** Estimates how many tokens of a prompt an upstream has cached from earlier requests. */
    public long cachedTokens(Upstream upstream, Prompt prompt, Instant now) {
        long sharedTokens = 0;
        for (PrefixSegment segment : prompt.segments()) {
            sharedTokens += segment.tokens();
        }
        List<Set<VmId>> homes = prompt.equals(lastPrompt)
                ? lastHomes
                : placement.homes(prompt.segments(), directory.usable(upstream.pool()), now);
        return sharedTokens - placement.uncachedTokens(prompt.segments(), homes, upstream.id(), now);
    }

    /** Records that a request was sent to an upstream, which has to read its prompt. */
    public void onSent(VmId upstream, Prompt prompt, Instant now) {
        limits.onSent(upstream, now);
        queuedPromptTokens.merge(upstream, (long) prompt.tokens(), Long::sum);
        placement.onSent(prompt.segments(), prompt.tokens(), upstream, now);
    }

    /** Records that an upstream has restarted under the same id, with an empty cache. */
    public void onRestarted(VmId upstream) {
        placement.forget(upstream);
    }

    /** Records that an upstream has read a prompt of so many tokens, or will not read it any more. */
    public void onPromptRead(VmId upstream, int tokens) {
        queuedPromptTokens.computeIfPresent(upstream, (id, before) -> before > tokens ? before - tokens : null);
    }

    /** The engine with the fewest tokens to read before the answer begins; ties are broken by rendezvous hashing. */
    private Upstream selectEngine(List<Upstream> candidates, Prompt prompt, Instant now) {
        String rendezvousKey =
                prompt.segments().isEmpty() ? "" : prompt.segments().getLast().id();
        List<Set<VmId>> homes = placement.homes(prompt.segments(), candidates, now);
        lastPrompt = prompt;
        lastHomes = homes;
        Upstream best = null;
        long fewestTokens = Long.MAX_VALUE;
        for (Upstream upstream : candidates) {
            long tokens = tokensToRead(upstream, prompt, homes, now);
            if (best == null
                    || tokens < fewestTokens
                    || (tokens == fewestTokens && precedes(upstream, best, rendezvousKey))) {
                best = upstream;
                fewestTokens = tokens;
            }
        }
        return best;
    }

    /** The tokens that no engine has cached, as no other request has them. */
    private static long ownTokens(Prompt prompt) {
        long own = prompt.tokens();
        for (PrefixSegment segment : prompt.segments()) {
            own -= segment.tokens();
        }
        return Math.max(0, own);
    }

    private boolean precedes(Upstream upstream, Upstream other, String rendezvousKey) {
        return rendezvous.score(rendezvousKey, upstream.id().value())
                > rendezvous.score(rendezvousKey, other.id().value());
    }

    private long tokensToRead(Upstream upstream, Prompt prompt, List<Set<VmId>> homes, Instant now) {
        long tokens = queuedPromptTokens.getOrDefault(upstream.id(), 0L)
                + (long) health.inFlight(upstream.id()) * DECODE_LOAD_TOKENS;
        if (features.uses(PolicyFeature.PROMPT_HOMES)) {
            tokens += placement.uncachedTokens(prompt.segments(), homes, upstream.id(), now);
        }
        if (load.inEffect()) {
            tokens = load.tokensToRead(upstream.id(), tokens + ownTokens(prompt), prompt.tokens(), now);
        }
        boolean crossesDomains = prompt.inputsDomain().isPresent()
                && !prompt.inputsDomain().get().equals(upstream.domain());
        return crossesDomains && features.uses(PolicyFeature.NEARNESS)
                ? tokens + prompt.inputBytes() * CROSS_DOMAIN_TOKENS_PER_MEGABYTE / MEGABYTE
                : tokens;
    }
}
