package org.wagtaillug.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

class ClaimTableTest {
    private static final Instant START = Instant.parse("2026-12-01T06:00:00Z");
    private static final Duration RETENTION = Duration.ofHours(1);

    @Property(tries = 5000, seed = "11")
    void matchesTheNaiveScanAfterEachRecord(@ForAll("recordSequences") List<ClaimRecord> records) {
        ClaimTable table = new ClaimTable(RETENTION);
        List<LogBatch.Entry> entries = new ArrayList<>();
        for (ClaimRecord record : records) {
            Instant time = START.plusSeconds(entries.size());
            entries.add(new LogBatch.Entry(entries.size() + 1L, time, new LogRecord.ClaimBatch(List.of(record))));
            table.apply(record, time);
            table.evictExpired(time);

            for (String key : List.of("a", "b")) {
                assertThat(table.holder(key)).isEqualTo(NaiveClaimTable.holder(entries, key));
            }
        }
    }

    @Test
    void evictsKeysThatTheLogHasDropped() {
        ClaimTable table = new ClaimTable(RETENTION);
        for (int index = 0; index < 10_000; index++) {
            Instant time = START.plusSeconds(index);
            table.apply(claimed("key-" + index, "claim-" + index), time);
            table.evictExpired(time);
        }

        assertThat(table.size()).isEqualTo(3601);
        assertThat(table.holder("key-0")).isEmpty();
        assertThat(table.holder("key-9999")).isPresent();
    }

    @Provide
    Arbitrary<List<ClaimRecord>> recordSequences() {
        Arbitrary<String> keys = Arbitraries.of("a", "b");
        Arbitrary<String> claimIds = Arbitraries.of("c1", "c2", "c3");
        Arbitrary<ClaimRecord> claims = Combinators.combine(keys, claimIds).as(ClaimTableTest::claimed);
        Arbitrary<ClaimRecord> settled = Combinators.combine(
                        keys, claimIds, Arbitraries.of(ResultCode.SERVED, ResultCode.OUTCOME_UNKNOWN))
                .as((key, claimId, code) ->
                        new ClaimRecord.Settled(key, claimId, code, RunState.UNKNOWN, Payload.EMPTY));
        Arbitrary<ClaimRecord> abandoned = Combinators.combine(keys, claimIds).as(ClaimRecord.Abandoned::new);
        return Arbitraries.oneOf(claims, settled, abandoned).list().ofMaxSize(14);
    }

    private static ClaimRecord claimed(String key, String claimId) {
        return new ClaimRecord.Claimed(key, claimId, START, new NodeId(new VmId("entry-1"), 1), "digest-" + claimId);
    }
}
