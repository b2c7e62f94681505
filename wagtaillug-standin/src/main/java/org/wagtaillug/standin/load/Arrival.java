package org.wagtaillug.standin.load;

/**
 * One request that is to be sent.
 *
 * @param number its place in the run, from 0
 * @param atNanos when to send it, from the start of the measured time; below 0 while warming up
 * @param customer whose it is
 * @param kind what it is
 * @param seed the seed of its input and ids
 */
record Arrival(int number, long atNanos, LoadFile.Customer customer, LoadFile.Kind kind, long seed) {
    /** Tells whether it comes before the measured time. */
    boolean warmsUp() {
        return atNanos < 0;
    }
}
