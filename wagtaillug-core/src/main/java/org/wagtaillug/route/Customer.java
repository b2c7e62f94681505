package org.wagtaillug.route;

import java.util.OptionalInt;
import org.wagtaillug.id.CustomerId;

/**
 * Who a caller's key belongs to.
 *
 * @param id the customer
 * @param rank goes before a route's rank, 0 first; empty if the routes' ranks hold
 */
public record Customer(CustomerId id, OptionalInt rank) {}
