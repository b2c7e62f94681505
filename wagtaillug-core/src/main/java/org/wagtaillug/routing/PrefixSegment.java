package org.wagtaillug.routing;

/**
 * A segment of a prompt that other requests may share.
 *
 * @param id identifies the content: equal segments have equal ids
 * @param tokens its length in tokens
 */
public record PrefixSegment(String id, int tokens) {}
