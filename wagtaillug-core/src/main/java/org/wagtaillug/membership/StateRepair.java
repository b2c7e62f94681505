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
 * Gets the control state from a peer when it is not available from the log, and replaces it when it is corrupt.
 *
 * <p>A state is considered corrupt if at least two peers at the same offset agree on a different digest, and they
 * outnumber the nodes that agree with this one. A single peer that differs proves nothing, since its own state may be
 * the corrupt one.
 */
final class StateRepair {
    private static final Duration LOG_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REQUEST_RETRY_INTERVAL = Duration.ofMillis(500);
    private static final Duration DIFFERENCE_LOG_INTERVAL = Duration.ofSeconds(10);
    private static final Duration REPAIR_RETRY_INTERVAL = Duration.ofMinutes(1);
    private static final int MIN_AGREEING_PEERS = 2;

    private final ControlLog log;
    private final Set<VmId> requestedFrom = new HashSet<>();
    private Optional<PeerAhead> ahead = Optional.empty();
    private Optional<Instant> behindSince = Optional.empty();
    private long highestOffset;
    private Optional<Instant> requestedAt = Optional.empty();
    private Optional<Instant> differenceLoggedAt = Optional.empty();
    private Optional<Instant> repairRequestedAt = Optional.empty();
    private Optional<Long> expectedDigest = Optional.empty();

    /**
     * A peer that has read further than this node.
     *
     * @param peer the VM of the peer
     * @param through the offset up to which it has read
     */
    private record PeerAhead(VmId peer, long through) {}

    StateRepair(ControlLog log) {
        this.log = log;
    }

    /** Records the position of a peer. */
    void onPeerPosition(VmId peer, Position position, Instant now) {
        if (position.through() <= log.state().through()) {
            return;
        }
        if (behindSince.isEmpty()) {
            behindSince = Optional.of(now);
            log.readWithoutDelay(now);
        }
        highestOffset = Math.max(highestOffset, position.through());
        if (ahead.isEmpty() || ahead.get().through() < position.through()) {
            ahead = Optional.of(new PeerAhead(peer, position.through()));
        }
    }

    void onTick(Instant now, Effects effects) {
        if (log.state().through() >= highestOffset) {
            behindSince = Optional.empty();
            ahead = Optional.empty();
            return;
        }
        if (ahead.isEmpty() || behindSince.isEmpty()) {
            return;
        }
        boolean waitForLog =
                log.logReachable(now) && now.isBefore(behindSince.get().plus(LOG_TIMEOUT));
        if (waitForLog || within(requestedAt, REQUEST_RETRY_INTERVAL, now)) {
            return;
        }
        requestedAt = Optional.of(now);
        sendRequest(ahead.get().peer(), effects);
        // If this peer does not answer, the next peer that is found to be ahead is asked.
        ahead = Optional.empty();
    }

    private void sendRequest(VmId peer, Effects effects) {
        requestedFrom.add(peer);
        effects.add(new Effect.SendToPeer(peer, new PeerMessage.StateRequest()));
    }

    /** Applies a state that was requested from a peer. An unexpected or duplicate reply is ignored. */
    void onStateReply(VmId sender, PeerMessage.StateReply reply, Instant now, Effects effects) {
        if (!requestedFrom.remove(sender)) {
            return;
        }
        if (expectedDigest.isPresent() && log.onRepair(expectedDigest.get(), reply, now, effects)) {
            expectedDigest = Optional.empty();
            return;
        }
        log.onStateReply(reply, now, effects);
    }

    /** Compares the digest of this node with those of the peers at the same offset. */
    void compare(Collection<ProbedPeer> peers, Instant now, Effects effects) {
        Position own = new Position(log.state().through(), log.state().digest());
        Map<Long, Integer> votes = new HashMap<>();
        Map<Long, VmId> peerByDigest = new HashMap<>();
        for (ProbedPeer peer : peers) {
            Optional<ProbeReply> lastReply = peer.lastReply();
            if (lastReply.isEmpty() || !peer.isHeard(now)) {
                continue;
            }
            Position position = lastReply.get().position();
            if (position.through() != own.through()) {
                continue;
            }
            votes.merge(position.digest(), 1, Integer::sum);
            peerByDigest.put(position.digest(), peer.vm());
        }
        int agreeing = 1 + votes.getOrDefault(own.digest(), 0);
        for (Map.Entry<Long, Integer> vote : votes.entrySet()) {
            if (vote.getKey() == own.digest()) {
                continue;
            }
            onDifferentDigest(vote.getKey(), peerByDigest.get(vote.getKey()), vote.getValue(), agreeing, now, effects);
        }
    }

    private void onDifferentDigest(long digest, VmId peer, int against, int agreeing, Instant now, Effects effects) {
        boolean outvoted = against >= MIN_AGREEING_PEERS && against > agreeing;
        if (!within(differenceLoggedAt, DIFFERENCE_LOG_INTERVAL, now)) {
            differenceLoggedAt = Optional.of(now);
            effects.add(new Effect.LogDecision(Decision.builder("control-digest-differs")
                    .field("through", log.state().through())
                    .field("peer", peer)
                    .field("against", against)
                    .field("agreeing", agreeing)
                    .field("corrupt", outvoted ? "self" : "not known")
                    .build()));
        }
        if (!outvoted || within(repairRequestedAt, REPAIR_RETRY_INTERVAL, now)) {
            return;
        }
        repairRequestedAt = Optional.of(now);
        expectedDigest = Optional.of(digest);
        sendRequest(peer, effects);
    }

    private static boolean within(Optional<Instant> at, Duration length, Instant now) {
        return at.isPresent() && now.isBefore(at.get().plus(length));
    }
}
