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
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.PoolProfile;

/** Chooses the upstream of a request. */
public final class UpstreamChooser {
    /** What another failure domain adds there and back; the links' delay is about a millisecond each way. */
    private static final Duration OTHER_DOMAIN = Duration.ofMillis(2);

    /** Taken for a server of which nothing is known yet. */
    private static final Duration DEFAULT_DURATION = Duration.ofMillis(25);

    /** What a request that runs at an engine delays the reading of a prompt by, in tokens: its share of the steps. */
    private static final int DECODE_LOAD_TOKENS = 150;

    /** A megabyte that crosses failure domains costs as much as reading so many tokens. */
    private static final int CROSS_DOMAIN_TOKENS_PER_MEGABYTE = 170;

    private static final int MEGABYTE = 1_000_000;

    /**
     * What an engine has to read.
     *
     * @param parts the parts that other requests may share, in order
     * @param tokens the length of the whole prompt
     * @param inputsAt the failure domain where most of its inputs lie
     * @param inputBytes how large they are
     */
    public record Prompt(List<PrefixSegment> parts, int tokens, Optional<DomainId> inputsAt, long inputBytes) {
        /** Copies the list. */
        public Prompt {
            parts = List.copyOf(parts);
        }
    }

    private final Map<VmId, Long> unread = new HashMap<>();

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final UpstreamLimits limits;
    private final DomainId domain;
    private final PolicyFeatures features;
    private final PrefixPlacement homes;
    private final Rendezvous rendezvous = new Rendezvous();
    private Prompt lastPrompt;
    private List<Set<VmId>> lastPlacement = List.of();

    /** Chooses among the upstreams of a directory, for a node in a failure domain. */
    public UpstreamChooser(
            UpstreamDirectory directory,
            UpstreamHealth health,
            UpstreamLimits limits,
            DomainId domain,
            PolicyFeatures features) {
        this.directory = directory;
        this.health = health;
        this.limits = limits;
        this.domain = domain;
        this.features = features;
        this.homes = new PrefixPlacement(features);
    }

    /**
     * The upstream for a request that may go to any version.
     *
     * @param tried upstreams that it must not go to again
     * @param prompt what an engine is to read; of no matter to other upstreams
     * @return empty if none may get it now
     */
    public Optional<Upstream> choose(PoolProfile pool, Set<VmId> tried, Prompt prompt, Instant now) {
        return choose(pool, VersionRule.ANY, tried, prompt, now);
    }

    /**
     * The upstream for a request.
     *
     * @param versions the versions that it may go to
     * @param tried upstreams that it must not go to again
     * @param prompt what an engine is to read; of no matter to other upstreams
     * @return empty if none may get it now
     */
    public Optional<Upstream> choose(
            PoolProfile pool, VersionRule versions, Set<VmId> tried, Prompt prompt, Instant now) {
        List<Upstream> open = open(pool, versions, tried, now);
        if (open.isEmpty()) {
            return Optional.empty();
        }
        List<Upstream> trusted = new ArrayList<>(open);
        trusted.removeIf(upstream -> !health.usable(upstream.id(), now));
        // Servers that failed lately are used again when there is no other: a pool must not go dark by suspicion alone.
        List<Upstream> candidates = trusted.isEmpty() ? open : trusted;
        if (pool.engine()) {
            return Optional.of(forPrompt(candidates, prompt, now));
        }
        return candidates.stream().min(Comparator.comparing(this::expected).thenComparing(Upstream::id));
    }

    private List<Upstream> open(PoolProfile pool, VersionRule versions, Set<VmId> tried, Instant now) {
        List<Upstream> open = new ArrayList<>();
        for (Upstream upstream : directory.usable(pool.id(), versions)) {
            boolean allowed = limits.allow(pool, upstream, health.inFlight(upstream.id()), now);
            if (allowed && !tried.contains(upstream.id())) {
                open.add(upstream);
            }
        }
        return open;
    }

    private Duration expected(Upstream upstream) {
        Duration each = features.uses(PolicyFeature.LATENCY_CHOICE)
                ? health.expected(upstream.id()).orElse(DEFAULT_DURATION)
                : DEFAULT_DURATION;
        Duration all = each.multipliedBy(health.inFlight(upstream.id()) + 1L);
        return upstream.domain().equals(domain) ? all : all.plus(OTHER_DOMAIN);
    }

    /** How many tokens of a prompt an upstream is likely to keep from requests before it. */
    public long kept(Upstream upstream, Prompt prompt, Instant now) {
        long shared = 0;
        for (PrefixSegment part : prompt.parts()) {
            shared += part.tokens();
        }
        List<Set<VmId>> placed = prompt.equals(lastPrompt)
                ? lastPlacement
                : homes.of(prompt.parts(), directory.usable(upstream.pool()), now);
        return shared - homes.missing(prompt.parts(), placed, upstream.id(), now);
    }

    /** A request goes to an upstream, which reads its prompt. */
    public void onSent(VmId upstream, Prompt prompt, Instant now) {
        unread.merge(upstream, (long) prompt.tokens(), Long::sum);
        homes.onSent(prompt.parts(), prompt.tokens(), upstream, now);
    }

    /** An upstream has started anew under its name: it keeps no part of a prompt. */
    public void onRestarted(VmId upstream) {
        homes.forget(upstream);
    }

    /** The upstream has read them, or will not. */
    public void onRead(VmId upstream, int tokens) {
        unread.computeIfPresent(upstream, (id, before) -> before > tokens ? before - tokens : null);
    }

    /** The engine with the least to read until the answer begins; of equal ones the first by rendezvous hashing. */
    private Upstream forPrompt(List<Upstream> candidates, Prompt prompt, Instant now) {
        String subject =
                prompt.parts().isEmpty() ? "" : prompt.parts().getLast().id();
        List<Set<VmId>> placed = homes.of(prompt.parts(), candidates, now);
        lastPrompt = prompt;
        lastPlacement = placed;
        Upstream best = null;
        long least = Long.MAX_VALUE;
        long highest = Long.MIN_VALUE;
        for (Upstream upstream : candidates) {
            long tokens = tokensBefore(upstream, prompt, placed, now);
            long score = rendezvous.score(subject, upstream.id().value());
            if (best == null || tokens < least || (tokens == least && score > highest)) {
                best = upstream;
                least = tokens;
                highest = score;
            }
        }
        return best;
    }

    private long tokensBefore(Upstream upstream, Prompt prompt, List<Set<VmId>> placed, Instant now) {
        long tokens =
                unread.getOrDefault(upstream.id(), 0L) + (long) health.inFlight(upstream.id()) * DECODE_LOAD_TOKENS;
        if (features.uses(PolicyFeature.PROMPT_HOMES)) {
            tokens += homes.missing(prompt.parts(), placed, upstream.id(), now);
        }
        boolean far = prompt.inputsAt().isPresent() && !prompt.inputsAt().get().equals(upstream.domain());
        return far && features.uses(PolicyFeature.NEARNESS)
                ? tokens + prompt.inputBytes() * CROSS_DOMAIN_TOKENS_PER_MEGABYTE / MEGABYTE
                : tokens;
    }
}
