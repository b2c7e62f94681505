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

/** What this node writes about the roster: its own joins and its leave, and removals of others. */
final class RosterEntry {
    private static final Duration JOIN_AGAIN = Duration.ofSeconds(2);
    private static final Duration FIRST_REJOIN = Duration.ofMillis(500);
    private static final Duration LAST_REJOIN = Duration.ofSeconds(60);
    private static final Duration SETTLED = Duration.ofMinutes(1);

    private final ControlLog log;
    private final NodeId self;
    private final Set<Long> appends = new HashSet<>();
    private Optional<Instant> joinSentAt = Optional.empty();
    private Optional<Instant> memberSince = Optional.empty();
    private Optional<Instant> rejoinAt = Optional.empty();
    private Duration rejoinDelay = FIRST_REJOIN;
    private boolean leaving;
    private boolean supersededTold;

    RosterEntry(ControlLog log) {
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
     * @param hearsMost whether it hears most of those it watches
     */
    void onTick(boolean hearsMost, Instant now, Effects effects) {
        if (log.state().isMember(self)) {
            if (memberSince.isEmpty()) {
                memberSince = Optional.of(now);
            }
            return;
        }
        if (memberSince.isPresent()) {
            noticeRemoval(now);
        }
        if (leaving || !log.complete() || !log.logReachable(now) || superseded(effects)) {
            return;
        }
        // Others removed this node because they do not hear it. Joining again before it hears them would only be
        // undone,
        // and each turn moves upstreams between owners, which nobody grants for a handover's length.
        if (rejoinAt.isPresent() && (now.isBefore(rejoinAt.get()) || !hearsMost)) {
            return;
        }
        if (joinSentAt.isPresent() && now.isBefore(joinSentAt.get().plus(JOIN_AGAIN))) {
            return;
        }
        joinSentAt = Optional.of(now);
        append(new RosterChange(RosterChangeKind.JOIN, self, self, Optional.of(log.address())), effects);
    }

    private void noticeRemoval(Instant now) {
        boolean settled = !now.isBefore(memberSince.get().plus(SETTLED));
        memberSince = Optional.empty();
        joinSentAt = Optional.empty();
        if (settled) {
            rejoinDelay = FIRST_REJOIN;
        }
        rejoinAt = Optional.of(now.plus(rejoinDelay));
        Duration doubled = rejoinDelay.multipliedBy(2);
        rejoinDelay = doubled.compareTo(LAST_REJOIN) > 0 ? LAST_REJOIN : doubled;
    }

    private boolean superseded(Effects effects) {
        Optional<StateMember> present = log.state().member(self.vm());
        if (present.isEmpty() || present.get().node().incarnation() < self.incarnation()) {
            return false;
        }
        if (!supersededTold) {
            supersededTold = true;
            effects.add(new Effect.LogDecision(Decision.builder("roster-superseded")
                    .field("self", self)
                    .field("by", present.get().node())
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
