package org.wagtaillug.daemon.translation;

/**
 * All that a platform's translation provides.
 *
 * @param callers requests of callers
 * @param upstreams requests to upstreams
 * @param stages calls to stage servers
 * @param feeds reads of the store
 */
public record Translation(
        CallerTranslation callers, UpstreamTranslation upstreams, StageTranslation stages, FeedSource feeds) {}
