package org.wagtaillug.standin.upstream;

/**
 * An order to an engine.
 *
 * @param order {@code load}, {@code unload} or {@code role}
 * @param model the model to load
 * @param version its version
 * @param role the role to take
 * @param fencingNumber the number of the right to give orders; a later holder has a higher one
 */
record Order(String order, String model, Integer version, String role, Long fencingNumber) {
    /** The answer: what holds after the order. */
    record Taken(String model, Integer version, String role, long fencingNumber) {}

    /** The answer to an order that came from an earlier holder of the right. */
    record Refused(String error, long fencingNumber) {}
}
