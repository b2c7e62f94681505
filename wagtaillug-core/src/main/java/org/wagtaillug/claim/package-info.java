/**
 * At-most-once execution of requests with an idempotency key. Before a node sends such a request, it writes a claim of
 * the key to the claims stream. The first claim of a key by offset wins, and only the winner may send. A claim is never
 * taken over, because its holder may only be paused: other requests with the key return the outcome that the holder
 * records, or report that it is unknown.
 */
package org.wagtaillug.claim;
