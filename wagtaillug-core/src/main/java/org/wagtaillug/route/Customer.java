package org.wagtaillug.route;

import java.util.OptionalInt;
import org.wagtaillug.id.CustomerId;

/**
 * The customer that owns a caller's key.
 *
 * @param id the customer's id
 * @param rank the priority class that overrides the routes' ranks, 0 is served first; empty if the routes' ranks apply
 */
public record Customer(CustomerId id, OptionalInt rank) {}
