/**
 * Reachability of upstreams from this node: which pools it can open connections to, judged by its own attempts to
 * connect.
 */
package org.wagtaillug.reachability;
