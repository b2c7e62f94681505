package org.wagtaillug.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.id.SegmentId;

/**
 * Counts the crashes under each request over all its tries, which have its content in common, and finds the requests that are
 * not sent any more.
 *
 * <p>Unlike a segment, a content needs no comparison with others: hardly any other request shares it. Each node therefore
 * decides by itself, and all nodes learn the count before the last crash that is allowed.
 */
final class RequestQuarantine {
    /** The number of crashes under a request, over all its tries, after which it is not sent any more. */
    static final int MAX_CRASHES = 3;

    /** The number of crashes from which on all nodes know of them. */
    private static final int ANNOUNCED_CRASHES = 2;

    /** The time from the first crash; callers have given up a request that was refused for this long. */
    static final Duration DURATION = Duration.ofMinutes(10);

    private static final int MAX_ENTRIES = 64;

    private final CrashEvidence evidence;
    private final CompletedSegments completed;
    private final Duration completionMemory;
    private final Map<SegmentId, State> states = new HashMap<>();

    private static final class State {
        private final SegmentId content;
        private int revision;
        private int crashes;
        private int unannouncedCrashes;
        private Instant firstCrashAt = Instant.MAX;
        private boolean saved;

        private State(SegmentId content) {
            this.content = content;
        }

        private boolean quarantined() {
            return crashes >= MAX_CRASHES;
        }

        private QuarantineEntry entry(Instant now) {
            Duration age = Duration.between(firstCrashAt, now);
            return new QuarantineEntry(Set.of(content), revision, quarantined(), crashes, 0, age);
        }
    }

    /**
     * Creates a quarantine without entries.
     *
     * @param completionMemory a content that was completed within this time before its first crash may be that of several
     *     requests and counts as sound
     */
    RequestQuarantine(CrashEvidence evidence, CompletedSegments completed, Duration completionMemory) {
        this.evidence = evidence;
        this.completed = completed;
        this.completionMemory = completionMemory;
    }

    /** Counts a crash that this node has seen, before it becomes evidence. */
    void onCrash(UpstreamRun run, SegmentId content) {
        State state = states.get(content);
        if (state != null && state.crashes > 0 && !evidence.includes(run, content)) {
            state.unannouncedCrashes++;
        }
    }

    /**
     * Updates the counts.
     *
     * @return what all nodes must know
     */
    List<QuarantineEntry> decide(Instant now) {
        List<QuarantineEntry> changed = new ArrayList<>();
        for (State state : List.copyOf(states.values())) {
            Instant completionsFrom = state.firstCrashAt.minus(completionMemory);
            if (state.crashes > 0 && completed.completedAfter(state.content, completionsFrom)) {
                changed.add(lift(state, now));
            }
        }
        for (SegmentId content : evidence.contents()) {
            decide(content, now).ifPresent(changed::add);
        }
        return changed;
    }

    /** Updates the count of one request; returns it if all nodes must know it. */
    Optional<QuarantineEntry> decide(SegmentId content, Instant now) {
        Optional<CrashEvidence.Suspect> suspect = evidence.suspect(content, completed, completionMemory);
        if (suspect.isEmpty()) {
            return Optional.empty();
        }
        State state = states.getOrDefault(content, new State(content));
        int crashes = Math.max(suspect.get().crashes(), state.crashes + state.unannouncedCrashes);
        if (crashes <= state.crashes || crashes < ANNOUNCED_CRASHES) {
            return Optional.empty();
        }
        state.firstCrashAt = earlier(state.firstCrashAt, suspect.get().firstAt());
        if (!keep(state, now)) {
            return Optional.empty();
        }
        state.crashes = crashes;
        state.unannouncedCrashes = 0;
        state.revision++;
        state.saved = false;
        return Optional.of(state.entry(now));
    }

    private static Instant earlier(Instant one, Instant other) {
        return one.isBefore(other) ? one : other;
    }

    /** Adds a state; returns false if it is too old, or older than all others of a full table. */
    private boolean keep(State state, Instant now) {
        if (state.firstCrashAt.isBefore(now.minus(DURATION))) {
            return false;
        }
        states.put(state.content, state);
        if (states.size() > MAX_ENTRIES) {
            // All nodes drop the same entries, so that none returns as new from another node.
            State oldest = states.values().stream()
                    .min(Comparator.comparing((State each) -> each.firstCrashAt).thenComparing(each -> each.content))
                    .orElseThrow();
            states.remove(oldest.content);
        }
        return states.containsKey(state.content);
    }

    /** The number of crashes under a request that this node knows of. */
    int crashes(SegmentId content) {
        State state = states.get(content);
        int announced = state == null ? 0 : state.crashes + state.unannouncedCrashes;
        return evidence.suspect(content, completed, completionMemory)
                .map(suspect -> Math.max(suspect.crashes(), announced))
                .orElse(announced);
    }

    /** The quarantine of a request; empty if it may be sent. */
    Optional<QuarantineEntry> find(SegmentId content, Instant now) {
        return Optional.ofNullable(states.get(content))
                .filter(State::quarantined)
                .map(state -> state.entry(now));
    }

    /** Processes what another node or the store knows; returns it if it is new. */
    Optional<QuarantineEntry> merge(QuarantineEntry entry, boolean saved, Instant now) {
        SegmentId content = entry.segments().iterator().next();
        State state = states.getOrDefault(content, new State(content));
        boolean same = entry.revision() == state.revision;
        boolean newer = entry.revision() > state.revision || (same && entry.crashes() > state.crashes);
        state.saved = saved && (same || newer) || state.saved && !newer;
        if (!newer) {
            return Optional.empty();
        }
        state.firstCrashAt = now.minus(entry.age());
        if (!keep(state, now)) {
            return Optional.empty();
        }
        state.revision = entry.revision();
        state.crashes = entry.crashes();
        state.unannouncedCrashes = 0;
        if (entry.crashes() == 0) {
            completed.addDecision(Set.of(content), now);
        }
        return Optional.of(state.entry(now));
    }

    /** Lifts a quarantine on behalf of an operator, so that earlier crashes count no more. */
    Optional<QuarantineEntry> lift(SegmentId content, Instant now) {
        return Optional.ofNullable(states.get(content))
                .filter(State::quarantined)
                .map(state -> lift(state, now));
    }

    private QuarantineEntry lift(State state, Instant now) {
        completed.addDecision(Set.of(state.content), now);
        state.crashes = 0;
        state.unannouncedCrashes = 0;
        state.revision++;
        state.saved = false;
        return state.entry(now);
    }

    /** What this node knows, for other nodes. */
    List<QuarantineEntry> entries(Instant now) {
        return states.values().stream().map(state -> state.entry(now)).toList();
    }

    /** The entries that are not in the store, where only requests that are or were refused are kept. */
    List<QuarantineEntry> unsaved(Instant now) {
        return states.values().stream()
                .filter(state -> !state.saved && (state.quarantined() || state.crashes == 0))
                .map(state -> state.entry(now))
                .toList();
    }

    /** Records that a revision of an entry was written to the store. */
    void onWritten(QuarantineEntry written) {
        State state = states.get(written.segments().iterator().next());
        if (state != null && state.revision == written.revision()) {
            state.saved = true;
        }
    }

    void setAllUnsaved() {
        states.values().forEach(state -> state.saved = false);
    }

    boolean any() {
        return states.values().stream().anyMatch(State::quarantined);
    }

    boolean knows(SegmentId content) {
        return states.containsKey(content);
    }

    /** Drops the entries that are too old. */
    void expire(Instant now) {
        Instant oldest = now.minus(DURATION);
        states.values().removeIf(state -> state.firstCrashAt.isBefore(oldest));
    }
}
