package org.wagtaillug.benchmarks;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.link.LogRecordCodec;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;

/** Decodes and applies a configuration record, by number of customer contracts in force. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class ControlBenchmark {
    /** The number of customer contracts in force. */
    @Param({"5", "390"})
    public int customers;

    private final LogRecordCodec codec = new LogRecordCodec();
    private ControlState state;
    private long offset;
    private long base;

    /** Creates the state with one contract per customer. */
    @Setup(Level.Iteration)
    public void populate() {
        state = new ControlState();
        for (int number = 0; number < customers; number++) {
            apply(change("customer-" + number, 0));
        }
        base = offset;
    }

    private static LogRecord.Change change(String name, long base) {
        CustomerContract body = new CustomerContract(new CustomerId(name), 1, Map.of());
        return new LogRecord.Change(body.key(), base, body, new OperatorId("desk"), "change");
    }

    private void apply(LogRecord record) {
        offset = state.through() + 1;
        state.apply(new LogBatch.Entry(offset, Instant.EPOCH, record));
    }

    /** Decodes a change and applies it; its base version is current, so it is accepted. */
    @Benchmark
    public long changeRead() {
        byte[] bytes = codec.encode(change("customer-" + (customers - 1), base));
        apply(codec.decode(bytes));
        base = offset;
        return offset;
    }

    /** Computes the digest of the complete state, which is needed after each change. */
    @Benchmark
    public long digest() {
        return state.digest();
    }
}
