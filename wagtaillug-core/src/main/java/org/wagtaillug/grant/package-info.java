/**
 * The right to have requests in flight at an upstream: given out by the one node that owns the upstream, held and used by
 * all. The sum of what an owner's holders may have in flight never exceeds what the upstream bears while it is cold.
 */
package org.wagtaillug.grant;
