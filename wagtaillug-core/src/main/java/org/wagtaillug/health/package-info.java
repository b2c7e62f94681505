/** The health and latency of upstreams: load reports, suspension after failures, and recent durations. */
package org.wagtaillug.health;
