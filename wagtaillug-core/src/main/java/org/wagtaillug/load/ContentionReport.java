package org.wagtaillug.load;

/**
 * What a node tells the others about the features for contended upstreams.
 *
 * @param supported whether it processes the messages of these features; false for builds without them
 * @param announced whether an upstream has announced how long its work takes, to it or to another node
 */
public record ContentionReport(boolean supported, boolean announced) {
    /** The report of a build without the features. */
    public static final ContentionReport UNSUPPORTED = new ContentionReport(false, false);
}
