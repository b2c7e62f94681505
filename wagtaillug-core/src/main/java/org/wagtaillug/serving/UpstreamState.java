package org.wagtaillug.serving;

import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;

/**
 * What a node knows of the upstreams.
 *
 * @param directory the registered upstreams
 * @param health their health, as observed through this node's attempts
 * @param paths how requests get to them
 */
record UpstreamState(UpstreamDirectory directory, UpstreamHealth health, UpstreamPaths paths) {}
