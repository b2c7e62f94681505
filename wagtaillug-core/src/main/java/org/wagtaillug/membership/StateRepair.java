package org.wagtaillug.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.configuration.ControlLog;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.message.PeerMessage.Position;
import org.wagtaillug.message.PeerMessage.ProbeReply;
import org.wagtaillug.node.Decision;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Gets the control state from a peer when the log does not give it, and replaces it when it is found to be corrupt.
 *
 * <p>Corrupt means: at the same offset at least two peers agree on a digest that is not this node's, and more peers than
 * agree with this node. A single peer that differs proves nothing, since it may be the corrupt one.
 */
final class StateRepair {
    private static final Duration LOG_FIRST = Duration.ofSeconds(1);
    private static final Duration ASK_AGAIN = Duration.ofMillis(500);
    private static final Duration TELL_AGAIN = Duration.ofSeconds(10);
    private static final Duration REPAIR_AGAIN = Duration.ofMinutes(1);
    private static final int AGREEING = 2;

    private final ControlLog log;
    private final Set<VmId> asked = new HashSet<>();
    private Optional<Ahead> ahead = Optional.empty();
    private Optional<Instant> behindSince = Optional.empty();
    private long highest;
    private Optional<Instant> askedAt = Optional.empty();
    private Optional<Instant> toldAt = Optional.empty();
    private Optional<Instant> repairAskedAt = Optional.empty();
    private Optional<Long> expectedDigest = Optional.empty();

    /**
     * Somebody has read further.
     *
     * @param peer who
     * @param through how far
     */
    private record Ahead(VmId peer, long through) {}

    StateRepair(ControlLog log) {
        this.log = log;
    }

    /** Takes note of a peer's position. */
    void heard(VmId peer, Position position, Instant now) {
        if (position.through() <= log.state().through()) {
            return;
        }
        if (behindSince.isEmpty()) {
            behindSince = Optional.of(now);
            log.readWithoutDelay(now);
        }
        highest = Math.max(highest, position.through());
        if (ahead.isEmpty() || ahead.get().through() < position.through()) {
            ahead = Optional.of(new Ahead(peer, position.through()));
        }
    }

    void onTick(Instant now, Effects effects) {
        if (log.state().through() >= highest) {
            behindSince = Optional.empty();
            ahead = Optional.empty();
            return;
        }
        if (ahead.isEmpty() || behindSince.isEmpty()) {
            return;
        }
        boolean logMayGiveIt =
                log.logReachable(now) && now.isBefore(behindSince.get().plus(LOG_FIRST));
        if (logMayGiveIt || askedWithin(askedAt, ASK_AGAIN, now)) {
            return;
        }
        askedAt = Optional.of(now);
        ask(ahead.get().peer(), effects);
        // If this peer does not answer, whoever is heard next to be ahead is asked.
        ahead = Optional.empty();
    }

    private void ask(VmId peer, Effects effects) {
        asked.add(peer);
        effects.add(new Effect.SendToPeer(peer, new PeerMessage.StateAsk()));
    }

    /** Takes a state in that was asked for; one that was not, or that is doubled, is dropped. */
    void onStateReply(VmId sender, PeerMessage.StateReply reply, Instant now, Effects effects) {
        if (!asked.remove(sender)) {
            return;
        }
        if (expectedDigest.isPresent() && log.onRepair(expectedDigest.get(), reply, now, effects)) {
            expectedDigest = Optional.empty();
            return;
        }
        log.onStateReply(reply, now, effects);
    }

    /** Compares digests with the peers that stand at the same offset. */
    void compare(Collection<Watch> watches, Instant now, Effects effects) {
        Position own = new Position(log.state().through(), log.state().digest());
        Map<Long, Integer> votes = new HashMap<>();
        Map<Long, VmId> holders = new HashMap<>();
        for (Watch watch : watches) {
            Optional<ProbeReply> last = watch.last();
            if (last.isEmpty() || !watch.heard(now)) {
                continue;
            }
            Position position = last.get().position();
            if (position.through() != own.through()) {
                continue;
            }
            votes.merge(position.digest(), 1, Integer::sum);
            holders.put(position.digest(), watch.vm());
        }
        int agreeing = 1 + votes.getOrDefault(own.digest(), 0);
        for (Map.Entry<Long, Integer> vote : votes.entrySet()) {
            if (vote.getKey() == own.digest()) {
                continue;
            }
            differs(vote.getKey(), holders.get(vote.getKey()), vote.getValue(), agreeing, now, effects);
        }
    }

    private void differs(long digest, VmId holder, int against, int agreeing, Instant now, Effects effects) {
        boolean outvoted = against >= AGREEING && against > agreeing;
        if (!askedWithin(toldAt, TELL_AGAIN, now)) {
            toldAt = Optional.of(now);
            effects.add(new Effect.LogDecision(Decision.builder("control-digest-differs")
                    .field("through", log.state().through())
                    .field("peer", holder)
                    .field("against", against)
                    .field("agreeing", agreeing)
                    .field("corrupt", outvoted ? "self" : "not known")
                    .build()));
        }
        if (!outvoted || askedWithin(repairAskedAt, REPAIR_AGAIN, now)) {
            return;
        }
        repairAskedAt = Optional.of(now);
        expectedDigest = Optional.of(digest);
        ask(holder, effects);
    }

    private static boolean askedWithin(Optional<Instant> at, Duration length, Instant now) {
        return at.isPresent() && now.isBefore(at.get().plus(length));
    }
}
