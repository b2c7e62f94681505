package org.wagtaillug.dispatch;

/** Maps a request's worth to the priority that is sent to engines: 0 to 9, where 9 is the most urgent. */
final class EnginePriority {
    private static final int DEFAULT_PRIORITY = 5;
    private static final int MAX_PRIORITY = 9;

    private EnginePriority() {}

    /** A worth of 1 maps to the middle priority; each doubling of the worth raises it by one. */
    static int of(double worth) {
        double doublings = Math.log(worth) / Math.log(2);
        return Math.clamp(DEFAULT_PRIORITY + Math.round(doublings), 0, MAX_PRIORITY);
    }
}
