package org.wagtaillug.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.SegmentId;

/**
 * Finds the segments of prompts, and the requests, that crash upstreams and keeps what holds them away from all upstreams.
 *
 * <p>Each node reports the crashes and completions that it sees; a few nodes pool the reports and decide. All nodes apply what
 * was decided. A quarantine is lifted when a prompt with its segments is completed, by an operator, or after a time. To find
 * out whether it is still needed, a single prompt may be sent now and then.
 *
 * <pre>{@code
 * quarantine.onCrash(upstream, incarnation, segments, now);
 * quarantine.decide(now);
 * quarantine.find(segments).ifPresent(this::refuse);
 * }</pre>
 */
public final class Quarantine {
    /** The number of crashes under a request, over all its tries, after which it is not sent any more. */
    public static final int MAX_CRASHES_OF_REQUEST = RequestQuarantine.MAX_CRASHES;

    /** The number of crashes without a completion in between after which prompts are quarantined. */
    static final int CRASHES_TO_QUARANTINE = 3;

    /** The same for segments that were completed not long before. */
    static final int CRASHES_AFTER_COMPLETION = 5;

    /** A segment that was completed within this time before its first crash is unlikely to be the cause. */
    static final Duration COMPLETION_MEMORY = Duration.ofSeconds(30);

    private static final CrashEvidence.Thresholds THRESHOLDS =
            new CrashEvidence.Thresholds(CRASHES_TO_QUARANTINE, CRASHES_AFTER_COMPLETION, COMPLETION_MEMORY);

    static final Duration FIRST_TRIAL_AFTER = Duration.ofSeconds(8);
    private static final Duration NEXT_TRIAL_AFTER = Duration.ofMinutes(10);
    private static final Duration DURATION = Duration.ofHours(1);

    /** For this long after a crash, nodes report completions of the segments that were present. */
    private static final Duration COMPLETION_REPORT_TIME = Duration.ofSeconds(30);

    private static final int MAX_ENTRIES = 64;

    private final CrashEvidence evidence;
    private final CompletedSegments completed;
    private final RequestQuarantine requests;
    private final UnconfirmedCompletions unconfirmed = new UnconfirmedCompletions();
    private final Map<Set<SegmentId>, State> states = new LinkedHashMap<>();

    private static final class State {
        private final Set<SegmentId> segments;
        private int revision;
        private boolean quarantined;
        private int crashes;
        private int trials;
        private Instant firstCrashAt;
        private Instant trialDue;
        private Instant expiresAt;
        private boolean saved;

        private State(Set<SegmentId> segments) {
            this.segments = Set.copyOf(segments);
        }

        private QuarantineEntry entry(Instant now) {
            return new QuarantineEntry(
                    segments, revision, quarantined, crashes, trials, Duration.between(firstCrashAt, now));
        }
    }

    /** Creates a quarantine without entries on a node. */
    public Quarantine(NodeId self) {
        evidence = new CrashEvidence(self);
        completed = new CompletedSegments(evidence::crashedSoonAfter);
        requests = new RequestQuarantine(evidence, completed, COMPLETION_MEMORY);
    }

    /** Records that an attempt of this node was at an upstream when that crashed. */
    public void onCrash(UpstreamRun run, Collection<SegmentId> segments, Instant now) {
        Set<SegmentId> present = unconfirmed.remove(run);
        present.addAll(segments);
        recordCrash(run, present, now);
    }

    private void recordCrash(UpstreamRun run, Set<SegmentId> present, Instant now) {
        present.stream().filter(SegmentId::isContent).forEach(content -> requests.onCrash(run, content));
        evidence.onCrash(run, present, now);
    }

    /**
     * Records that an upstream refuses connections, and so has crashed if it has answered just before.
     *
     * @return whether it has
     */
    public boolean onConnectionRefused(UpstreamRun run, Instant now) {
        Set<SegmentId> present = unconfirmed.remove(run);
        if (present.isEmpty()) {
            return false;
        }
        recordCrash(run, present, now);
        return true;
    }

    /** Records that an upstream has answered an attempt, and so has not crashed before that was sent. */
    public void onAnswer(UpstreamRun run, Instant sentAt) {
        evidence.onAnswer(run, sentAt);
    }

    /** Records that a prompt was answered completely, which counts once the upstream has not crashed for some time. */
    public void onCompleted(UpstreamRun run, Collection<SegmentId> segments, Instant now) {
        unconfirmed.add(run, segments, now);
    }

    /** Records that an answer ended with its connection, which shows something only if the upstream has crashed. */
    public void onConnectionClosed(UpstreamRun run, Collection<SegmentId> segments, Instant now) {
        unconfirmed.addUndelimited(run, segments, now);
    }

    /**
     * Confirms completions after which the upstream has not crashed.
     *
     * @return whether other nodes may have to know of one of them
     */
    public boolean confirmCompletions(Instant now) {
        return unconfirmed.confirm(completed, now) && (!states.isEmpty() || evidence.any());
    }

    /** Lifts the quarantines whose segments were completed since their first crash. */
    private List<QuarantineEntry> liftCompleted(Instant now) {
        List<QuarantineEntry> lifted = new ArrayList<>();
        for (State state : List.copyOf(states.values())) {
            List<SegmentId> sound = state.segments.stream()
                    .filter(segment -> completed.completedAfter(segment, state.firstCrashAt))
                    .toList();
            if (state.quarantined && !sound.isEmpty()) {
                change(state, false, now);
                lifted.add(state.entry(now));
                sound.forEach(segment -> setSound(segment, state.firstCrashAt, now));
            }
        }
        return lifted;
    }

    /** Records that a segment was found sound, also for other nodes. */
    private void setSound(SegmentId segment, Instant firstCrashAt, Instant now) {
        completed.addDecision(Set.of(segment), now);
        State state = states.computeIfAbsent(Set.of(segment), State::new);
        if (state.revision == 0) {
            state.firstCrashAt = firstCrashAt;
            change(state, false, now);
            dropOldest();
        }
    }

    private void change(State state, boolean quarantined, Instant now) {
        state.revision++;
        state.quarantined = quarantined;
        state.expiresAt = now.plus(DURATION);
        state.saved = false;
    }

    /** Whether prompts with each of the segments were completed not long ago, as far as this node knows. */
    public boolean completedRecently(Collection<SegmentId> segments, Instant now) {
        return segments.stream().allMatch(segment -> completed.completedAfter(segment, now.minus(COMPLETION_MEMORY)));
    }

    /** The quarantine that concerns a prompt, or the whole content of a request; empty if that may be sent. */
    public Optional<QuarantineEntry> find(Collection<SegmentId> prompt, Instant now) {
        for (State state : states.values()) {
            if (state.quarantined && prompt.containsAll(state.segments)) {
                return Optional.of(state.entry(now));
            }
        }
        return findRequest(prompt, now);
    }

    private Optional<QuarantineEntry> findRequest(Collection<SegmentId> prompt, Instant now) {
        return prompt.stream()
                .filter(SegmentId::isContent)
                .flatMap(content -> requests.find(content, now).stream())
                .findFirst();
    }

    /** Whether a prompt under quarantine may be sent as a trial, which then counts as sent. */
    public boolean tryTrial(Collection<SegmentId> prompt, Instant now) {
        List<State> concerned = new ArrayList<>();
        for (State state : states.values()) {
            if (state.quarantined && prompt.containsAll(state.segments)) {
                concerned.add(state);
            }
        }
        if (concerned.size() != 1
                || now.isBefore(concerned.getFirst().trialDue)
                || findRequest(prompt, now).isPresent()) {
            return false;
        }
        State state = concerned.getFirst();
        state.trials++;
        state.trialDue = now.plus(NEXT_TRIAL_AFTER);
        state.saved = false;
        return true;
    }

    /**
     * Decides which requests are not sent any more. Each node does so by itself.
     *
     * @return what all nodes must know: the requests that are refused or served again, or are close to it
     */
    public List<QuarantineEntry> decideRequests(Instant now) {
        return requests.decide(now);
    }

    /** Decides on the request with a content alone. */
    public Optional<QuarantineEntry> decideRequest(SegmentId content, Instant now) {
        return requests.decide(content, now);
    }

    /** The number of crashes under the request with a content that this node knows of, over all its tries. */
    public int crashesOfRequest(SegmentId content) {
        return requests.crashes(content);
    }

    /**
     * Decides which segments crash upstreams, and which do not.
     *
     * @return the quarantines that are new or lifted
     */
    public List<QuarantineEntry> decide(Instant now) {
        List<QuarantineEntry> decided = liftCompleted(now);
        if (!evidence.any()) {
            return decided;
        }
        // A quarantine that was decided on fewer reports must not hide the segments that explain more crashes.
        for (CrashEvidence.Suspect suspect : evidence.explain(completed, earlierCrashes(now), THRESHOLDS, now)) {
            State state = states.get(suspect.segments());
            if (state == null || !state.quarantined) {
                decided.add(quarantine(suspect, now));
            }
        }
        return decided;
    }

    /** Crashes that count against each of several segments, and that only the entry of these segments remembers. */
    private Map<SegmentId, Integer> earlierCrashes(Instant now) {
        Map<SegmentId, Integer> earlier = new HashMap<>();
        for (State state : states.values()) {
            int forgotten = state.crashes - evidence.count(state.segments, completed, now);
            if (state.segments.size() == 1 || !state.quarantined || forgotten <= 0) {
                continue;
            }
            for (SegmentId segment : state.segments) {
                earlier.merge(segment, forgotten, Math::max);
            }
        }
        return earlier;
    }

    private QuarantineEntry quarantine(CrashEvidence.Suspect suspect, Instant now) {
        State state = states.computeIfAbsent(Set.copyOf(suspect.segments()), State::new);
        change(state, true, now);
        state.crashes = suspect.crashes();
        state.trials = 0;
        state.firstCrashAt = suspect.firstAt();
        state.trialDue = now.plus(FIRST_TRIAL_AFTER);
        dropOldest();
        return state.entry(now);
    }

    private void dropOldest() {
        while (states.size() > MAX_ENTRIES) {
            states.remove(states.keySet().iterator().next());
        }
    }

    /** What this node knows, for other nodes. */
    public QuarantineReport report(Instant now) {
        List<QuarantineEntry> entries = new ArrayList<>(requests.entries(now));
        Set<SegmentId> suspected = evidence.segmentsSince(now.minus(COMPLETION_REPORT_TIME));
        for (State state : states.values()) {
            entries.add(state.entry(now));
            suspected.addAll(state.segments);
        }
        List<CompletionReport> completions = new ArrayList<>();
        for (SegmentId segment : suspected) {
            completed.latest(segment).ifPresent(latest -> latest.run()
                    .ifPresent(run ->
                            completions.add(new CompletionReport(segment, run, Duration.between(latest.at(), now)))));
        }
        return new QuarantineReport(true, entries, evidence.ownReports(completed, now), completions);
    }

    /**
     * Processes the report of a peer.
     *
     * @return the quarantines that are new or lifted by it
     */
    public List<QuarantineEntry> onReport(NodeId peer, QuarantineReport report, Instant now) {
        evidence.onReports(peer, report.crashes(), now);
        for (CompletionReport completion : report.completions()) {
            completed.add(Set.of(completion.segment()), completion.run(), now.minus(completion.age()));
        }
        List<QuarantineEntry> changed = new ArrayList<>();
        for (QuarantineEntry entry : report.entries()) {
            merge(entry, false, now).ifPresent(changed::add);
        }
        return changed;
    }

    /**
     * Processes an entry of the store.
     *
     * @return the entry if it is new or has changed
     */
    public Optional<QuarantineEntry> onSaved(QuarantineEntry entry, Instant now) {
        return merge(entry, true, now);
    }

    private Optional<QuarantineEntry> merge(QuarantineEntry entry, boolean saved, Instant now) {
        if (entry.ofContent()) {
            return requests.merge(entry, saved, now);
        }
        boolean old = entry.age().compareTo(DURATION) > 0;
        if (!entry.quarantined() && old && !states.containsKey(entry.segments())) {
            return Optional.empty();
        }
        State state = states.computeIfAbsent(entry.segments(), State::new);
        if (entry.trials() > state.trials) {
            state.trials = entry.trials();
            state.trialDue = now.plus(NEXT_TRIAL_AFTER);
        }
        boolean newer = entry.revision() > state.revision;
        state.saved = saved && entry.revision() >= state.revision || state.saved && !newer;
        if (!newer) {
            return Optional.empty();
        }
        boolean changed = state.quarantined != entry.quarantined();
        state.revision = entry.revision();
        state.quarantined = entry.quarantined();
        state.crashes = entry.crashes();
        state.firstCrashAt = now.minus(entry.age());
        state.trialDue = now.plus(entry.trials() == 0 ? FIRST_TRIAL_AFTER : NEXT_TRIAL_AFTER);
        state.expiresAt = now.plus(DURATION);
        if (!entry.quarantined() && entry.segments().size() == 1) {
            completed.addDecision(entry.segments(), now);
        }
        dropOldest();
        return changed ? Optional.of(state.entry(now)) : Optional.empty();
    }

    /**
     * Lifts a quarantine on behalf of an operator, so that earlier crashes count no more.
     *
     * @return the lifted quarantine; empty if there is none
     */
    public Optional<QuarantineEntry> lift(Set<SegmentId> segments, Instant now) {
        SegmentId first = segments.iterator().next();
        if (first.isContent()) {
            return requests.lift(first, now);
        }
        State state = states.get(segments);
        if (state == null || !state.quarantined) {
            return Optional.empty();
        }
        change(state, false, now);
        completed.addDecision(segments, now);
        return Optional.of(state.entry(now));
    }

    /** The entries that are not in the store. */
    public List<QuarantineEntry> unsaved(Instant now) {
        List<QuarantineEntry> unsaved = new ArrayList<>(requests.unsaved(now));
        for (State state : states.values()) {
            if (!state.saved) {
                unsaved.add(state.entry(now));
            }
        }
        return unsaved;
    }

    /** Records that a revision of an entry was written to the store. */
    public void onWritten(QuarantineEntry written) {
        if (written.ofContent()) {
            requests.onWritten(written);
            return;
        }
        State state = states.get(written.segments());
        if (state != null && state.revision == written.revision() && state.trials == written.trials()) {
            state.saved = true;
        }
    }

    /** Records that the store may have lost what it held. */
    public void setAllUnsaved() {
        states.values().forEach(state -> state.saved = false);
        requests.setAllUnsaved();
    }

    /** The entries in force. */
    public List<QuarantineEntry> inForce(Instant now) {
        List<QuarantineEntry> inForce = new ArrayList<>();
        for (State state : states.values()) {
            if (state.quarantined) {
                inForce.add(state.entry(now));
            }
        }
        return inForce;
    }

    /** Whether the state of a quarantine is known, in force or lifted. */
    public boolean knows(Set<SegmentId> segments) {
        return states.containsKey(segments)
                || requests.knows(segments.iterator().next());
    }

    /** Whether any quarantine is in force. */
    public boolean any() {
        return requests.any() || states.values().stream().anyMatch(state -> state.quarantined);
    }

    /**
     * Lifts the quarantines that are too old, and drops those that were lifted long ago.
     *
     * @return the quarantines that have ended now
     */
    public List<QuarantineEntry> expire(Instant now) {
        evidence.expire(now);
        requests.expire(now);
        List<QuarantineEntry> ended = new ArrayList<>();
        for (State state : List.copyOf(states.values())) {
            if (now.isBefore(state.expiresAt)) {
                continue;
            }
            if (state.quarantined) {
                change(state, false, now);
                ended.add(state.entry(now));
            } else {
                states.remove(state.segments);
            }
        }
        return ended;
    }
}
