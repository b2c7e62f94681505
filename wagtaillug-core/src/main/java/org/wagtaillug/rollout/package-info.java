/** Moves a pool's requests to a new version of its upstreams step by step, and back if that version is bad. */
package org.wagtaillug.rollout;
