package org.wagtaillug.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.admission.ColdPace;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.route.PoolProfile;

/** Chooses the upstream of a request. */
public final class UpstreamChooser {
    /** So many nodes may send to one server; its connections are shared out evenly among them. */
    public static final int MOST_NODES = 12;

    /** What another failure domain adds there and back; the links' delay is about a millisecond each way. */
    private static final Duration OTHER_DOMAIN = Duration.ofMillis(2);

    /** Taken for a server of which nothing is known yet. */
    private static final Duration USUAL_DURATION = Duration.ofMillis(25);

    /** An engine reads a part again in less than a request waits for this many others there. */
    private static final int WORTH_OF_PREFIX = 3;

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final ColdPace coldPace;
    private final DomainId domain;
    private final Rendezvous rendezvous = new Rendezvous();

    /** Chooses among the upstreams of a directory, for a node in a failure domain. */
    public UpstreamChooser(UpstreamDirectory directory, UpstreamHealth health, ColdPace coldPace, DomainId domain) {
        this.directory = directory;
        this.health = health;
        this.coldPace = coldPace;
        this.domain = domain;
    }

    /**
     * The upstream for a request.
     *
     * @param tried upstreams that it must not go to again
     * @param lastPart the last part of its prompt; empty if it has none
     * @return empty if none may get it now
     */
    public Optional<Upstream> choose(PoolProfile pool, Set<VmId> tried, Optional<String> lastPart, Instant now) {
        List<Upstream> open = open(pool, tried, now);
        if (open.isEmpty()) {
            return Optional.empty();
        }
        List<Upstream> trusted = new ArrayList<>(open);
        trusted.removeIf(upstream -> !health.usable(upstream.id(), now));
        // Servers that failed lately are used again when there is no other: a pool must not go dark by suspicion alone.
        List<Upstream> candidates = trusted.isEmpty() ? open : trusted;
        if (pool.engine() && lastPart.isPresent()) {
            return Optional.of(forPrompt(candidates, lastPart.get()));
        }
        return candidates.stream().min(Comparator.comparing(this::expected).thenComparing(Upstream::id));
    }

    private List<Upstream> open(PoolProfile pool, Set<VmId> tried, Instant now) {
        int share = Math.max(1, pool.connections() / MOST_NODES);
        List<Upstream> open = new ArrayList<>();
        for (Upstream upstream : directory.usable(pool.id())) {
            boolean room = health.inFlight(upstream.id()) < share;
            boolean paced = pool.coldPerSecond() <= 0 || !upstream.cold(now) || coldPace.allows(upstream.id(), now);
            if (room && paced && !tried.contains(upstream.id())) {
                open.add(upstream);
            }
        }
        return open;
    }

    private Duration expected(Upstream upstream) {
        Duration each = health.expected(upstream.id()).orElse(USUAL_DURATION);
        Duration all = each.multipliedBy(health.inFlight(upstream.id()) + 1L);
        return upstream.domain().equals(domain) ? all : all.plus(OTHER_DOMAIN);
    }

    /** The engine that rendezvous hashing names for the last part, unless another has clearly fewer under way. */
    private Upstream forPrompt(List<Upstream> candidates, String lastPart) {
        int fewest = Integer.MAX_VALUE;
        for (Upstream upstream : candidates) {
            fewest = Math.min(fewest, health.inFlight(upstream.id()));
        }
        Upstream best = null;
        long highest = Long.MIN_VALUE;
        for (Upstream upstream : candidates) {
            if (health.inFlight(upstream.id()) > fewest + WORTH_OF_PREFIX) {
                continue;
            }
            long score = rendezvous.score(lastPart, upstream.id().value());
            if (best == null || score > highest) {
                best = upstream;
                highest = score;
            }
        }
        return best;
    }
}
