package org.wagtaillug.daemon.translation;

/**
 * The translations for one platform.
 *
 * @param callers translates requests of callers
 * @param upstreams translates requests to upstreams
 * @param stages translates calls to stage servers
 * @param feeds reads from the store
 */
public record Translation(
        CallerTranslation callers, UpstreamTranslation upstreams, StageTranslation stages, FeedSource feeds) {}
