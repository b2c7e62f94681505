package org.wagtaillug.standin.upstream;

/**
 * An order to an engine.
 *
 * @param order {@code load}, {@code unload} or {@code role}
 * @param model the model to load
 * @param version its version
 * @param role the role to take
 * @param fencingNumber the fencing number of the ownership under which the order is given; a later owner has a higher one
 */
record Order(String order, String model, Integer version, String role, Long fencingNumber) {
    /** The answer to an accepted order: the state of the engine after the order. */
    record Accepted(String model, Integer version, String role, long fencingNumber) {}

    /** The answer to an order from a previous owner. */
    record Rejected(String error, long fencingNumber) {}
}
