package org.wagtaillug.standin.load;

/**
 * A scheduled request.
 *
 * @param number its position in the run, from 0
 * @param atNanos the time to send it, in nanoseconds since sending started, warm-up included
 * @param customer the customer that sends it
 * @param kind its kind
 * @param seed the seed for its input and ids
 */
record Arrival(int number, long atNanos, LoadFile.Customer customer, LoadFile.Kind kind, long seed) {
    /** Returns whether the send time is negative, which {@link Schedule} does not produce. */
    boolean isBeforeStart() {
        return atNanos < 0;
    }
}
