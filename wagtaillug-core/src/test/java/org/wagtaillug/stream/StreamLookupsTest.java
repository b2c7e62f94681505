package org.wagtaillug.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

class StreamLookupsTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant LATER = NOW.plusMillis(160);
    private static final RequestId STREAM = new RequestId("a");
    private static final VmId ONE = new VmId("one");
    private static final VmId TWO = new VmId("two");

    @Test
    void aStreamIsUnknownWhenAllReplicasSaySo() {
        StreamLookups lookups = new StreamLookups();
        assertThat(lookups.lookUp(STREAM, List.of(ONE, TWO), NOW)).isEqualTo(StreamLookups.State.SEARCHING);
        lookups.onUnknown(ONE, List.of(STREAM), LATER);
        assertThat(lookups.lookUp(STREAM, List.of(ONE, TWO), LATER)).isEqualTo(StreamLookups.State.SEARCHING);
        lookups.onUnknown(TWO, List.of(STREAM), LATER);
        assertThat(lookups.lookUp(STREAM, List.of(ONE, TWO), LATER)).isEqualTo(StreamLookups.State.UNKNOWN);
    }

    /** Guards against a caller that takes its stream up before the message about it has reached the replicas. */
    @Test
    void aStreamThatHasJustBegunIsNotUnknown() {
        StreamLookups lookups = new StreamLookups();
        lookups.lookUp(STREAM, List.of(ONE), NOW);
        lookups.onUnknown(ONE, List.of(STREAM), NOW.plusMillis(5));
        assertThat(lookups.lookUp(STREAM, List.of(ONE), LATER)).isEqualTo(StreamLookups.State.SEARCHING);
        assertThat(lookups.queries(ONE, LATER)).containsExactly(STREAM);
    }

    /** Guards against callers that wait for replicas that do not answer. */
    @Test
    void aLookupEndsWithoutAnswers() {
        StreamLookups lookups = new StreamLookups();
        lookups.lookUp(STREAM, List.of(), NOW);
        assertThat(lookups.lookUp(STREAM, List.of(), NOW.plus(Duration.ofSeconds(2))))
                .isEqualTo(StreamLookups.State.UNANSWERED);
    }

    @Test
    void queriesAreRepeatedUntilTheyAreAnswered() {
        StreamLookups lookups = new StreamLookups();
        lookups.lookUp(STREAM, List.of(ONE, TWO), NOW);
        assertThat(lookups.queries(ONE, NOW)).containsExactly(STREAM);
        lookups.onQueriesSent(NOW);
        assertThat(lookups.queries(ONE, NOW)).isEmpty();
        lookups.onUnknown(ONE, List.of(STREAM), LATER);
        assertThat(lookups.queries(ONE, NOW.plusMillis(200))).isEmpty();
        assertThat(lookups.queries(TWO, NOW.plusMillis(200))).containsExactly(STREAM);
    }
}
