package org.wagtaillug.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.log.LogRecord.RosterChange;
import org.wagtaillug.log.LogRecord.RosterChangeKind;

/** Random control records, many of which conflict, are duplicates or concern nodes that have left. */
final class RandomRecords {
    private RandomRecords() {}

    record Step(int kind, int subject, int author, int versionsBack) {}

    static Arbitrary<List<Step>> lists(int maxSize) {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.integers().between(0, 11),
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.integers().between(0, 3))
                .as(Step::new);
        return step.list().ofMinSize(1).ofMaxSize(maxSize);
    }

    static FakeLog logOf(List<Step> steps) {
        FakeLog log = new FakeLog();
        for (Step step : steps) {
            log.append(record(step, log.all()), Instant.EPOCH);
        }
        return log;
    }

    static LogRecord record(Step step, List<LogBatch.Entry> preceding) {
        if (step.kind() == 11) {
            return new LogRecord.Unreadable(9);
        }
        if (step.kind() >= 7) {
            return roster(step);
        }
        if (step.kind() == 6 && !preceding.isEmpty()) {
            return preceding
                    .get(preceding.size() - 1 - step.subject() % preceding.size())
                    .record();
        }
        PoolId pool = new PoolId("pool-" + step.subject() % 3);
        String key = "pool/" + pool;
        List<Long> versions = NaiveControlState.versions(preceding, key);
        long base = versions.get(Math.max(0, versions.size() - 1 - step.versionsBack()));
        String changeId = "change-" + preceding.size();
        return new Change(key, base, body(step, pool), new OperatorId("operator-" + step.author() % 2), changeId);
    }

    private static Body body(Step step, PoolId pool) {
        if (step.kind() == 0) {
            return new Body.Removed();
        }
        if (step.kind() == 1) {
            return new Body.Unknown("pool-v2", "{\"cold\": " + step.author() + "}");
        }
        return new PoolContract(pool, 1 + step.author(), 4, 8, false, false);
    }

    private static LogRecord roster(Step step) {
        RosterChangeKind kind =
                switch (step.kind()) {
                    case 7, 8 -> RosterChangeKind.JOIN;
                    case 9 -> RosterChangeKind.LEAVE;
                    default -> RosterChangeKind.REMOVE;
                };
        NodeAddress address = new NodeAddress("127.0.0.1", 7000 + step.versionsBack(), new DomainId("pl-a"));
        Optional<NodeAddress> joins = kind == RosterChangeKind.JOIN ? Optional.of(address) : Optional.empty();
        return new RosterChange(kind, node(step.subject()), node(step.author()), joins);
    }

    /** One of four VMs with two incarnations each. */
    private static NodeId node(int number) {
        return new NodeId(new VmId("entry-" + number % 4), 1 + number / 4);
    }
}
