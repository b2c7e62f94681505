package org.wagtaillug.directory;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtaillug.id.VmId;

/**
 * Entries that have come back after their removal. Such an entry may have been written before the removal and executed by
 * the store after it. It is used once the upstream has written again, or when it has stayed for longer than an entry
 * without heartbeats does.
 */
final class ReappearedEntries {
    /** The store executes a write at most this late, and removes entries without heartbeats sooner. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(6);

    private final Map<VmId, Reappeared> unconfirmed = new HashMap<>();

    private record Reappeared(Listing listing, Instant usableAt) {}

    /** Records an entry, and returns whether it must not be used yet. */
    boolean unconfirmed(Listing listing, Instant now) {
        Reappeared first = unconfirmed.get(listing.id());
        if (first == null) {
            unconfirmed.put(listing.id(), new Reappeared(listing, now.plus(CONFIRMATION_TIMEOUT)));
            return true;
        }
        if (listing.sequence() <= first.listing().sequence()) {
            return true;
        }
        unconfirmed.remove(listing.id());
        return false;
    }

    void remove(VmId id) {
        unconfirmed.remove(id);
    }

    /** Removes and returns the entries that have stayed long enough to be used. */
    List<Listing> pollUsable(Instant now) {
        List<Listing> usable = new ArrayList<>();
        for (Reappeared entry : List.copyOf(unconfirmed.values())) {
            if (!now.isBefore(entry.usableAt())) {
                unconfirmed.remove(entry.listing().id());
                usable.add(entry.listing());
            }
        }
        return usable;
    }
}
