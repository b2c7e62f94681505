package org.wagtaillug.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FeedTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static FeedRecord record(String key, long offset) {
        return new FeedRecord(key, offset, Optional.of(new byte[] {1}));
    }

    @Test
    void aStaleRecordNeverReplacesANewerOne() {
        // Guards against stale reads: a store that lags behind returns records from some seconds ago. A removed
        // route would be restored on this node for as long as the store lags.
        Feed feed = new Feed();
        feed.apply(new FeedBatch(8, true, List.of(record("a", 7))));
        assertThat(feed.apply(new FeedBatch(4, false, List.of(record("a", 3))))).isEmpty();
        assertThat(feed.next()).isEqualTo(8);
        assertThat(feed.apply(new FeedBatch(4, true, List.of(record("b", 3))))).hasSize(1);
        assertThat(feed.after(0).records()).extracting(FeedRecord::key).containsExactlyInAnyOrder("a", "b");
    }

    /** Guards against keys that a restored store does not have and that a late answer of an earlier era brings back. */
    @Test
    void aReadOfAnEarlierEraIsIgnored() {
        Feed feed = new Feed();
        feed.apply(new FeedBatch(8, true, List.of(record("a", 7))));
        feed.apply(new FeedBatch(FeedPosition.of(1, 3), true, List.of(record("a", FeedPosition.of(1, 2)))));
        assertThat(feed.apply(new FeedBatch(9, false, List.of(record("b", 8))))).isEmpty();
        assertThat(feed.next()).isEqualTo(FeedPosition.of(1, 3));
    }

    @Test
    void aKeyMissingFromACompleteListingIsRemoved() {
        Feed feed = new Feed();
        feed.apply(new FeedBatch(2, true, List.of(record("a", 0), record("b", 1))));
        List<FeedRecord> changed = feed.apply(new FeedBatch(5, true, List.of(record("b", 4))));
        assertThat(changed).hasSize(2);
        assertThat(changed)
                .filteredOn(each -> each.value().isEmpty())
                .extracting(FeedRecord::key)
                .containsExactly("a");
    }

    @Test
    void aPeerThatIsBehindGetsOnlyTheRecordsItIsMissing() {
        Feed feed = new Feed();
        feed.apply(new FeedBatch(9, true, List.of(record("a", 2), record("b", 8))));
        assertThat(feed.after(5).records()).extracting(FeedRecord::key).containsExactly("b");
        assertThat(feed.after(5).complete()).isFalse();
        assertThat(feed.after(0).complete()).isTrue();
    }

    @Test
    void afterAListingOfSeveralPagesReadingContinuesFromThePositionOfTheFirstPage() {
        // Guards against lost records: a record written while the pages are read may be in none of them, and would be
        // skipped for good if reading continued from the end of the last page.
        Feed feed = new Feed();
        FeedReader reader = new FeedReader(FeedName.DIRECTORY, feed);
        assertThat(reader.next(false, NOW)).contains(new FeedReader.Read.Newest(Optional.empty()));
        assertThat(reader.next(false, NOW)).isEmpty();
        reader.onListed(List.of(record("a", 1)), true, 10, NOW);
        assertThat(reader.next(false, NOW)).contains(new FeedReader.Read.Newest(Optional.of("a")));
        reader.onListed(List.of(record("b", 12)), false, 14, NOW);
        assertThat(reader.next(false, NOW)).contains(new FeedReader.Read.From(10, Duration.ZERO));
        assertThat(feed.complete()).isTrue();
    }

    @Test
    void theFeedIsListedAgainWhenRecordsAreNoLongerRetained() {
        Feed feed = new Feed();
        FeedReader reader = new FeedReader(FeedName.CONFIGURATION, feed);
        reader.next(false, NOW);
        reader.onListed(List.of(record("a", 1)), false, 2, NOW);
        assertThat(reader.next(false, NOW)).contains(new FeedReader.Read.From(2, FeedName.CONFIGURATION.longestWait()));
        reader.onTruncated(NOW);
        assertThat(reader.next(false, NOW)).contains(new FeedReader.Read.Newest(Optional.empty()));
        reader.onFailed(NOW);
        assertThat(reader.next(false, NOW)).isEmpty();
        assertThat(reader.next(false, NOW.plusMillis(200))).contains(new FeedReader.Read.Newest(Optional.empty()));
    }
}
