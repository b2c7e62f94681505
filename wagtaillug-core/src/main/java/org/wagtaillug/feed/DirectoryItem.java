package org.wagtaillug.feed;

import java.util.Optional;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.VmId;

/** The decoded content of a record of the directory feed. */
public sealed interface DirectoryItem {
    /**
     * An upstream is listed.
     *
     * @param listing the listing, as published by the upstream
     */
    record Listed(Listing listing) implements DirectoryItem {}

    /**
     * An upstream was removed.
     *
     * @param upstream the removed upstream
     */
    record Removed(VmId upstream) implements DirectoryItem {}

    /**
     * The record cannot be decoded, so its upstream cannot be used.
     *
     * @param upstream the upstream named by the key of the record; empty if the key is no id
     * @param reason the reason, for the log
     */
    record Unreadable(Optional<VmId> upstream, String reason) implements DirectoryItem {}
}
