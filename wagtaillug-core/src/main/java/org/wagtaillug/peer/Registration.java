package org.wagtaillug.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.VmId;

/**
 * Maintains this node's entry in the membership feed and removes the expired entries of other nodes.
 *
 * <p>An entry is a lease: its node renews it, and another node removes it if it was not renewed for several renewal
 * intervals. That time is measured by the clock of the removing node alone; clocks of different nodes are never
 * compared.
 */
public final class Registration {
    private static final Duration RENEWAL_INTERVAL = Duration.ofMinutes(5);
    private static final Duration LEASE = Duration.ofMinutes(15);
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

    private final Member self;
    private final Map<VmId, Instant> renewedAt = new HashMap<>();
    private Instant due = Instant.EPOCH;

    /** A write to the membership feed. */
    public record Write(VmId member, Optional<byte[]> value) {}

    /** Creates a registration whose first write is due immediately. */
    public Registration(Member self) {
        this.self = self;
    }

    /** An entry was read from the feed. */
    public void onEntry(Member member, Instant now) {
        renewedAt.put(member.id(), now);
        if (member.id().equals(self.id())) {
            due = member.equals(self) ? now.plus(RENEWAL_INTERVAL) : now;
        }
    }

    /** An entry was removed from the feed. */
    public void onRemoved(VmId member, Instant now) {
        renewedAt.remove(member);
        if (member.equals(self.id())) {
            due = now;
        }
    }

    /** The store may have lost this node's entry, which is written again. */
    public void onStoreRestored(Instant now) {
        due = now;
    }

    /** A write of this node's own entry has completed; on success, its effect is observed when the entry is read. */
    public void onWritten(boolean succeeded, Instant now) {
        if (!succeeded) {
            due = now.plus(RETRY_INTERVAL);
        }
    }

    /**
     * Returns the writes that are due now.
     *
     * @param expires whether this node is responsible for removing expired entries
     */
    public List<Write> due(boolean expires, Instant now) {
        List<Write> writes = new ArrayList<>();
        if (!now.isBefore(due)) {
            due = now.plus(RENEWAL_INTERVAL);
            writes.add(new Write(self.id(), Optional.of(MemberRecord.encode(self))));
        }
        if (!expires) {
            return writes;
        }
        for (VmId member : List.copyOf(renewedAt.keySet())) {
            if (now.isAfter(renewedAt.get(member).plus(LEASE)) && !member.equals(self.id())) {
                renewedAt.put(member, now);
                writes.add(new Write(member, Optional.empty()));
            }
        }
        return writes;
    }
}
