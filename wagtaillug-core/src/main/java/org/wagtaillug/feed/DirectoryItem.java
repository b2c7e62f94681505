package org.wagtaillug.feed;

import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.VmId;

/** What a record of the directory feed says. */
public sealed interface DirectoryItem {
    /**
     * An upstream is there.
     *
     * @param listing what it says of itself
     */
    record Listed(Listing listing) implements DirectoryItem {}

    /**
     * An upstream is gone.
     *
     * @param upstream which
     */
    record Removed(VmId upstream) implements DirectoryItem {}

    /**
     * The record cannot be read; it names no upstream to use.
     *
     * @param upstream under whose name it stands
     * @param reason for the log
     */
    record Unreadable(VmId upstream, String reason) implements DirectoryItem {}
}
