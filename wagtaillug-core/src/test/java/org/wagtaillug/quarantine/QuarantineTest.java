package org.wagtaillug.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.SegmentId;
import org.wagtaillug.id.VmId;

/** Decisions on which segments of prompts crash upstreams. */
class QuarantineTest {
    private static final SegmentId HOUSE = new SegmentId("house");
    private static final SegmentId DOCUMENT = new SegmentId("document");
    private static final SegmentId CRASHING = new SegmentId("crashing");

    private final Quarantine quarantine = new Quarantine(new NodeId(new VmId("node-1"), 1));
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private int runs;

    private void pass(Duration time) {
        now = now.plus(time);
        quarantine.confirmCompletions(now);
    }

    private UpstreamRun newRun() {
        runs++;
        return new UpstreamRun(new VmId("engine-" + runs), 1);
    }

    private void crash(SegmentId... segments) {
        quarantine.onCrash(newRun(), Set.of(segments), now);
        pass(Duration.ofMillis(300));
    }

    private void complete(SegmentId... segments) {
        quarantine.onCompleted(newRun(), Set.of(segments), now);
        pass(Duration.ofSeconds(1));
    }

    private List<Set<SegmentId>> decided() {
        return quarantine.decide(now).stream()
                .filter(QuarantineEntry::quarantined)
                .map(QuarantineEntry::segments)
                .toList();
    }

    @Test
    void threeCrashesWithoutCompletionAreEnough() {
        crash(HOUSE, CRASHING);
        complete(HOUSE);
        crash(HOUSE, CRASHING);
        assertThat(decided()).isEmpty();
        crash(HOUSE, CRASHING);
        assertThat(decided()).containsExactly(Set.of(CRASHING));
        assertThat(quarantine.find(Set.of(HOUSE, CRASHING), now)).isPresent();
        assertThat(quarantine.find(Set.of(HOUSE, DOCUMENT), now)).isEmpty();
    }

    /** Guards against sound segments that are refused because they were always beside the one that crashes upstreams. */
    @Test
    void segmentsThatCannotBeToldApartAreRefusedOnlyTogether() {
        for (int crash = 0; crash < 3; crash++) {
            crash(HOUSE, CRASHING);
        }
        assertThat(decided()).containsExactly(Set.of(HOUSE, CRASHING));
        assertThat(quarantine.find(Set.of(HOUSE), now)).isEmpty();
        complete(HOUSE);
        assertThat(decided()).containsExactly(Set.of(CRASHING));
        assertThat(quarantine.find(Set.of(CRASHING), now)).isPresent();
    }

    /** Guards against a cause that hides behind a segment which happened to be beside it three times. */
    @Test
    void aFurtherCrashTellsSegmentsApart() {
        for (int crash = 0; crash < 3; crash++) {
            crash(DOCUMENT, CRASHING);
        }
        decided();
        crash(HOUSE, CRASHING);
        assertThat(decided()).containsExactly(Set.of(CRASHING));
    }

    /** Guards against busy sound segments that are refused when several upstreams end at the same moment. */
    @Test
    void upstreamsThatEndTogetherCountOnce() {
        for (int upstream = 0; upstream < 8; upstream++) {
            quarantine.onCrash(newRun(), Set.of(HOUSE), now);
        }
        pass(Duration.ofSeconds(1));
        assertThat(decided()).isEmpty();
    }

    /** Guards against busy sound segments that are refused when upstreams end one after the other. */
    @Test
    void segmentsThatWereCompletedBeforeNeedMoreCrashes() {
        complete(HOUSE);
        for (int crash = 0; crash < 4; crash++) {
            crash(HOUSE);
        }
        assertThat(decided()).isEmpty();
        crash(HOUSE);
        assertThat(decided()).containsExactly(Set.of(HOUSE));
    }

    /** Guards against one crash that counts once for each node that has seen it. */
    @Test
    void oneCrashCountsOnceHoweverManyNodesHaveSeenIt() {
        UpstreamRun run = newRun();
        quarantine.onCrash(run, Set.of(CRASHING), now);
        for (int node = 2; node <= 9; node++) {
            CrashReport report = new CrashReport(run, Set.of(CRASHING), Duration.ofMillis(60L * node));
            quarantine.onReport(node(node), report(List.of(), List.of(report), List.of()), now);
        }
        pass(Duration.ofSeconds(1));
        assertThat(decided()).isEmpty();
    }

    @Test
    void reportsOfSeveralNodesArePooled() {
        for (int node = 2; node <= 4; node++) {
            CrashReport crash = new CrashReport(newRun(), Set.of(HOUSE, CRASHING), Duration.ofSeconds(node));
            CompletionReport completion = new CompletionReport(HOUSE, newRun(), Duration.ofMillis(100));
            quarantine.onReport(node(node), report(List.of(), List.of(crash), List.of(completion)), now);
        }
        assertThat(decided()).containsExactly(Set.of(CRASHING));
    }

    /** Guards against an answer that looks complete as the upstream has ended between two of its events. */
    @Test
    void completionsRightBeforeACrashShowNothing() {
        for (int crash = 0; crash < 3; crash++) {
            UpstreamRun run = newRun();
            quarantine.onCompleted(run, Set.of(CRASHING), now);
            pass(Duration.ofMillis(200));
            quarantine.onConnectionRefused(run, now);
            pass(Duration.ofMillis(300));
        }
        assertThat(decided()).containsExactly(Set.of(CRASHING));
    }

    /** Guards against a crash between two events that passes for the end of an answer without a length or chunks. */
    @Test
    void answersThatEndWithTheirConnectionShowNothing() {
        for (int crash = 0; crash < 3; crash++) {
            quarantine.onConnectionClosed(newRun(), Set.of(CRASHING), now);
            pass(Duration.ofSeconds(1));
            crash(CRASHING);
        }
        assertThat(decided()).containsExactly(Set.of(CRASHING));
    }

    /** Guards against broken answers of upstreams that have not ended. */
    @Test
    void upstreamsThatAnswerAgainHaveNotCrashed() {
        for (int answer = 0; answer < 3; answer++) {
            UpstreamRun run = newRun();
            quarantine.onCrash(run, Set.of(CRASHING), now);
            pass(Duration.ofMillis(100));
            quarantine.onAnswer(run, now);
            pass(Duration.ofMillis(300));
        }
        assertThat(decided()).isEmpty();
    }

    /** Guards against a sound segment that stays refused, as nobody sends it any more. */
    @Test
    void aSingleTrialIsSentAfterSomeTime() {
        for (int crash = 0; crash < 3; crash++) {
            crash(CRASHING);
        }
        decided();
        assertThat(quarantine.tryTrial(Set.of(CRASHING), now)).isFalse();
        pass(Quarantine.FIRST_TRIAL_AFTER);
        assertThat(quarantine.tryTrial(Set.of(CRASHING), now)).isTrue();
        assertThat(quarantine.tryTrial(Set.of(CRASHING), now)).isFalse();
        complete(CRASHING);
        quarantine.decide(now);
        assertThat(quarantine.find(Set.of(CRASHING), now)).isEmpty();
    }

    /** Guards against a node that repeats the trial of another one, or refuses what that has found sound. */
    @Test
    void otherNodesLearnOfTrialsAndEnds() {
        for (int crash = 0; crash < 3; crash++) {
            crash(CRASHING);
        }
        decided();
        Quarantine other = new Quarantine(node(2));
        other.onReport(node(1), quarantine.report(now), now);
        pass(Quarantine.FIRST_TRIAL_AFTER);
        assertThat(quarantine.tryTrial(Set.of(CRASHING), now)).isTrue();
        other.onReport(node(1), quarantine.report(now), now);
        assertThat(other.tryTrial(Set.of(CRASHING), now)).isFalse();
        assertThat(other.find(Set.of(CRASHING), now)).isPresent();
        quarantine.lift(Set.of(CRASHING), now);
        other.onReport(node(1), quarantine.report(now), now);
        assertThat(other.find(Set.of(CRASHING), now)).isEmpty();
        assertThat(quarantine.decide(now)).isEmpty();
    }

    /** Guards against quarantines that nodes hand to each other for ever. */
    @Test
    void quarantinesEnd() {
        for (int crash = 0; crash < 3; crash++) {
            crash(CRASHING);
        }
        decided();
        Quarantine other = new Quarantine(node(2));
        other.onReport(node(1), quarantine.report(now), now);
        pass(Duration.ofMinutes(61));
        assertThat(quarantine.expire(now)).hasSize(1);
        other.onReport(node(1), quarantine.report(now), now);
        quarantine.onReport(node(2), other.report(now), now);
        assertThat(quarantine.find(Set.of(CRASHING), now)).isEmpty();
        assertThat(other.find(Set.of(CRASHING), now)).isEmpty();
    }

    /** Guards against callers that name new segments with each request to fill the memory of nodes. */
    @Test
    void whatIsKeptIsBounded() {
        for (int crash = 0; crash < 200; crash++) {
            Set<SegmentId> segments = new HashSet<>();
            for (int segment = 0; segment < 100; segment++) {
                segments.add(new SegmentId("s-" + crash + "-" + segment));
            }
            quarantine.onCrash(newRun(), segments, now);
            pass(Duration.ofMillis(60));
        }
        List<CrashReport> crashes = quarantine.report(now).crashes();
        assertThat(crashes).hasSizeLessThanOrEqualTo(32);
        assertThat(crashes).allSatisfy(crash -> assertThat(crash.segments()).hasSizeLessThanOrEqualTo(64));
    }

    @Test
    void entriesSurviveTheStore() {
        QuarantineEntry entry = new QuarantineEntry(
                Set.of(new SegmentId("a\tb"), new SegmentId("c\nd")), 3, true, 4, 1, Duration.ofSeconds(9));
        assertThat(QuarantineRecord.decode(QuarantineRecord.encode(entry)).get())
                .isEqualTo(entry);
        assertThat(QuarantineRecord.key(entry.segments())).hasSize(64);
        assertThat(quarantine.onSaved(entry, now)).isPresent();
        assertThat(quarantine.unsaved(now)).isEmpty();
    }

    /** Guards against an entry that would keep all prompts away from upstreams. */
    @Test
    void entriesWithoutSegmentsAreRejected() {
        assertThatThrownBy(() -> new QuarantineEntry(Set.of(), 1, true, 3, 0, Duration.ZERO))
                .hasMessage("found 0 segments and revision 1; expected one segment or more and revision 1 or higher");
        assertThat(quarantine.find(Set.of(), now)).isEmpty();
    }

    @Test
    void unreadableRecordsAreExplained() {
        List<String> errors = new ArrayList<>();
        for (String text :
                List.of("", "2\n1", "1\n1\tquarantined\t3\t0\t5", "1\n1\n5c1e", "1\nx\tlifted\t3\t0\t5\n5c1e")) {
            errors.add(QuarantineRecord.decode(text.getBytes(StandardCharsets.UTF_8))
                    .getLeft());
        }
        assertThat(errors)
                .containsExactly(
                        "found the format \"\"; expected \"1\"",
                        "found the format \"2\"; expected \"1\"",
                        "found no segment; expected one or more",
                        "found 1 fields; expected 5",
                        "For input string: \"x\"");
    }

    private static NodeId node(int number) {
        return new NodeId(new VmId("node-" + number), 1);
    }

    private static QuarantineReport report(
            List<QuarantineEntry> entries, List<CrashReport> crashes, List<CompletionReport> completions) {
        return new QuarantineReport(true, entries, crashes, completions);
    }
}
