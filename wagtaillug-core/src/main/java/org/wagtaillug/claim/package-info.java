/**
 * At most one run for work that must not happen twice. Before a node sends such work, it writes a claim of the request's
 * idempotency key to the claims stream; the first claim of a key by offset wins, and only the winner may send. A claim is
 * never taken over, because its holder may only be paused: others repeat the outcome that the holder records, or say
 * that it is unknown.
 */
package org.wagtaillug.claim;
