/**
 * Rollouts: gradually move a pool's requests to a new version of its upstreams, and revert if that version is worse.
 */
package org.wagtaillug.rollout;
