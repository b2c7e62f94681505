/**
 * Concurrency limits for upstreams. The one node that owns an upstream grants allowances, and every node starts
 * requests only within the allowances it holds. The sum of what all holders may have in flight never exceeds the limit
 * of the upstream, which is low while the upstream is cold.
 */
package org.wagtaillug.grant;
