package org.wagtaillug.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.wagtaillug.id.AttemptId;

/**
 * Merges the token streams of one request's attempts into a single stream that has each token once and in order.
 *
 * <p>After a stream breaks, another attempt resumes at {@link #next()}; a hedged stream runs in parallel with the
 * first. All of them have the same tokens at the same offsets, because prompt and seed determine the output of an
 * engine. So a token whose offset was already emitted is dropped as a duplicate, and a token that arrives out of order
 * is buffered.
 *
 * <p>Not thread-safe; the caller must synchronize.
 */
public final class StreamJoiner {
    /** The maximum number of tokens that are buffered while an earlier one is missing. */
    public static final int MAX_BUFFERED = 4096;

    private final BiConsumer<Integer, String> sink;
    private final Map<Integer, String> buffered = new TreeMap<>();
    private int next;
    private long duplicates;

    /**
     * Creates a joiner that expects the token at offset 0 first.
     *
     * @param sink receives each token with its offset
     */
    public StreamJoiner(BiConsumer<Integer, String> sink) {
        this.sink = sink;
    }

    /**
     * Accepts a token of an attempt.
     *
     * @param attempt the attempt that the token belongs to
     * @param offset its position in the complete output, from 0
     * @param text the token
     * @return false if the buffer is full because the stream is too far ahead; the attempt must be cancelled
     */
    public boolean accept(AttemptId attempt, int offset, String text) {
        if (offset < next || buffered.containsKey(offset)) {
            duplicates++;
            return true;
        }
        if (buffered.size() >= MAX_BUFFERED) {
            return false;
        }
        buffered.put(offset, text);
        String ready = buffered.remove(next);
        while (ready != null) {
            sink.accept(next, ready);
            next++;
            ready = buffered.remove(next);
        }
        return true;
    }

    /** The offset of the first token that has not been emitted, at which a new attempt resumes. */
    public int next() {
        return next;
    }

    /** The number of duplicate tokens received. */
    public long duplicates() {
        return duplicates;
    }

    /**
     * Whether all tokens of the output have been emitted, given the length that an attempt reported at its end.
     *
     * @param tokens the length of the complete output as reported by the attempt
     */
    public boolean isComplete(int tokens) {
        return next == tokens && buffered.isEmpty();
    }
}
