package org.wagtaillug.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.wagtaillug.id.AttemptId;

/**
 * Joins the token streams of one request's attempts into one: each token once, in order, whichever attempt it came from.
 *
 * <p>A stream that breaks is resumed by another attempt from {@link #next()}; a hedged stream runs beside the first.
 * Both give the same tokens at the same offsets, since an engine's output is fixed by prompt and seed; so an offset that
 * was passed on is dropped when it comes again, and one that comes early is held back.
 *
 * <p>Not safe for use by several threads at once; the holder locks.
 */
public final class StreamJoiner {
    /** The most tokens that are held back before the one that is missing has come. */
    public static final int MOST_HELD = 4096;

    private final BiConsumer<Integer, String> sink;
    private final Map<Integer, String> held = new TreeMap<>();
    private int next;
    private long duplicates;

    /**
     * Starts at token 0.
     *
     * @param sink takes each token with its offset
     */
    public StreamJoiner(BiConsumer<Integer, String> sink) {
        this.sink = sink;
    }

    /**
     * Takes a token of an attempt.
     *
     * @param attempt where it came from
     * @param offset its place in the whole output, from 0
     * @param text the token
     * @return false if the stream is so far ahead that it cannot be joined; the attempt must be given up
     */
    public boolean accept(AttemptId attempt, int offset, String text) {
        if (offset < next || held.containsKey(offset)) {
            duplicates++;
            return true;
        }
        if (held.size() >= MOST_HELD) {
            return false;
        }
        held.put(offset, text);
        String ready = held.remove(next);
        while (ready != null) {
            sink.accept(next, ready);
            next++;
            ready = held.remove(next);
        }
        return true;
    }

    /** The offset of the first token that has not been passed on: where a new attempt resumes. */
    public int next() {
        return next;
    }

    /** How many tokens came more than once. */
    public long duplicates() {
        return duplicates;
    }

    /**
     * Whether an attempt's claim to have ended after so many tokens is true of what was passed on.
     *
     * @param tokens the length that the attempt claims for the whole output
     */
    public boolean whole(int tokens) {
        return next == tokens && held.isEmpty();
    }
}
