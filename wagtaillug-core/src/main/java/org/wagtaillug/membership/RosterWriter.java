package org.wagtaillug.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.configuration.ControlLog;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.log.LogRecord.RosterChange;
import org.wagtaillug.log.LogRecord.RosterChangeKind;
import org.wagtaillug.log.LogRecord.StateMember;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.node.Decision;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/** Appends the roster records of this node: its own joins and its leave, and removals of other nodes. */
final class RosterWriter {
    private static final Duration JOIN_RETRY_INTERVAL = Duration.ofSeconds(2);
    private static final Duration MIN_REJOIN_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_REJOIN_DELAY = Duration.ofSeconds(60);
    private static final Duration STABLE_MEMBERSHIP = Duration.ofMinutes(1);

    private final ControlLog log;
    private final NodeId self;
    private final Set<Long> appends = new HashSet<>();
    private Optional<Instant> joinSentAt = Optional.empty();
    private Optional<Instant> memberSince = Optional.empty();
    private Optional<Instant> rejoinAt = Optional.empty();
    private Duration rejoinDelay = MIN_REJOIN_DELAY;
    private boolean leaving;
    private boolean supersededLogged;

    RosterWriter(ControlLog log) {
        this.log = log;
        this.self = log.self();
    }

    boolean leaving() {
        return leaving;
    }

    boolean appendEnded(long append) {
        return appends.remove(append);
    }

    /**
     * Joins if this node is not in the roster.
     *
     * @param hearsMajority whether this node hears a majority of the peers that it probes
     */
    void onTick(boolean hearsMajority, Instant now, Effects effects) {
        if (log.state().isMember(self)) {
            if (memberSince.isEmpty()) {
                memberSince = Optional.of(now);
            }
            return;
        }
        if (memberSince.isPresent()) {
            onRemoved(now);
        }
        if (leaving || !log.complete() || !log.logReachable(now) || superseded(effects)) {
            return;
        }
        // Others removed this node because they do not hear it. A join before it hears them would only be undone, and
        // each change moves upstreams between owners, for which nobody grants during the handover.
        if (rejoinAt.isPresent() && (now.isBefore(rejoinAt.get()) || !hearsMajority)) {
            return;
        }
        if (joinSentAt.isPresent() && now.isBefore(joinSentAt.get().plus(JOIN_RETRY_INTERVAL))) {
            return;
        }
        joinSentAt = Optional.of(now);
        append(new RosterChange(RosterChangeKind.JOIN, self, self, Optional.of(log.address())), effects);
    }

    private void onRemoved(Instant now) {
        boolean stable = !now.isBefore(memberSince.get().plus(STABLE_MEMBERSHIP));
        memberSince = Optional.empty();
        joinSentAt = Optional.empty();
        if (stable) {
            rejoinDelay = MIN_REJOIN_DELAY;
        }
        rejoinAt = Optional.of(now.plus(rejoinDelay));
        Duration doubled = rejoinDelay.multipliedBy(2);
        rejoinDelay = doubled.compareTo(MAX_REJOIN_DELAY) > 0 ? MAX_REJOIN_DELAY : doubled;
    }

    private boolean superseded(Effects effects) {
        Optional<StateMember> current = log.state().member(self.vm());
        if (current.isEmpty() || current.get().node().incarnation() < self.incarnation()) {
            return false;
        }
        if (!supersededLogged) {
            supersededLogged = true;
            effects.add(new Effect.LogDecision(Decision.builder("roster-superseded")
                    .field("self", self)
                    .field("by", current.get().node())
                    .build()));
        }
        return true;
    }

    void remove(NodeId subject, Effects effects) {
        effects.add(new Effect.LogDecision(
                Decision.builder("roster-remove").field("subject", subject).build()));
        append(new RosterChange(RosterChangeKind.REMOVE, subject, self, Optional.empty()), effects);
    }

    void leave(Instant now, Effects effects) {
        if (leaving) {
            return;
        }
        leaving = true;
        if (log.state().isMember(self) || joinSentAt.isPresent()) {
            append(new RosterChange(RosterChangeKind.LEAVE, self, self, Optional.empty()), effects);
        }
    }

    private void append(RosterChange change, Effects effects) {
        long append = effects.nextAppend();
        appends.add(append);
        effects.add(new Effect.AppendToLog(append, LogStream.CONTROL, change));
    }
}
