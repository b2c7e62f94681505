package org.wagtaillug.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class FeedReaderTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final FeedReader reader = new FeedReader(FeedName.DIRECTORY, new Feed());

    private void list(Instant time) {
        reader.next(false, time);
        reader.onListed(List.of(), false, 0, time);
    }

    /** Guards against a node that was suspended, and takes what it had read before for what holds now. */
    @Test
    void aReadFromBeforeASuspensionConfirmsNothing() {
        list(NOW);
        assertThat(reader.confirmedSince(NOW)).isTrue();
        reader.onSuspended();
        assertThat(reader.confirmedSince(NOW)).isFalse();
        assertThat(reader.cutOff(NOW, TIMEOUT)).isTrue();
    }

    /** Guards against the answer of a read that had been started before the suspension. */
    @Test
    void aReadThatASuspensionInterruptsConfirmsNothing() {
        list(NOW);
        reader.next(false, NOW);
        reader.onSuspended();
        reader.onRecords(new FeedBatch(0, false, List.of()), NOW);
        assertThat(reader.confirmedSince(NOW)).isFalse();
        Instant later = NOW.plusSeconds(2);
        reader.next(false, later);
        reader.onRecords(new FeedBatch(0, false, List.of()), later);
        assertThat(reader.confirmedSince(later)).isTrue();
    }
}
