package org.wagtaillug.feed;

/**
 * Positions in a feed, as single numbers that only rise: the era of the store in the upper bits, the offset in the lower
 * ones.
 *
 * <p>A store that comes back from an earlier copy of itself gives out offsets again, for other records. It counts such
 * returns, so a position of a later era is higher than any position of an earlier one.
 */
public final class FeedPosition {
    private static final int OFFSET_BITS = 40;

    private FeedPosition() {}

    /** The position of an offset in an era. */
    public static long of(long era, long offset) {
        return era << OFFSET_BITS | offset;
    }

    /** A position for a log line: the offset, after its era if the store has come back from an earlier copy. */
    public static String text(long position) {
        long era = era(position);
        return era == 0 ? Long.toString(offset(position)) : era + ":" + offset(position);
    }

    /** The era of a position. */
    public static long era(long position) {
        return position >> OFFSET_BITS;
    }

    /** The offset of a position. */
    public static long offset(long position) {
        return position & (1L << OFFSET_BITS) - 1;
    }
}
