package org.wagtaillug.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.log.LogRecord.RosterChange;
import org.wagtaillug.log.LogRecord.StateEntry;
import org.wagtaillug.log.LogRecord.StateMember;
import org.wagtaillug.membership.Vm;

/**
 * The configuration and the roster: a fold over the control stream in the order of offsets. Two states that were folded
 * through the same offset are equal, whatever way they came there: from the first record, from a snapshot or from a
 * peer.
 *
 * <p>A change wins if and only if its base is the key's version when its turn comes. The rule looks at nothing but keys
 * and versions, so that a program that cannot read a body still agrees on which change won.
 */
public final class ControlState implements Configuration {
    /** For how many of the newest changes {@link #judgement} and {@link #won} know the outcome. */
    static final int REMEMBERED_CHANGES = 512;

    private final Map<String, StateEntry> entries = new TreeMap<>();
    private final Map<VmId, StateMember> members = new TreeMap<>();
    private final Set<DomainId> domainsOut = new HashSet<>();
    private final Set<VmId> vmsOut = new HashSet<>();
    private final Map<Long, Judgement> judgementsByOffset = new LinkedHashMap<>();
    private final Map<String, Judgement> judgementsById = new LinkedHashMap<>();
    private long through;
    private long digest;
    private long rosterOffset;

    /**
     * Takes in the next record. One that was taken in before is ignored.
     *
     * @throws IllegalStateException if a record between was not taken in
     */
    public void fold(LogBatch.Entry entry) {
        long offset = entry.offset();
        if (offset <= through) {
            return;
        }
        if (offset != through + 1) {
            // A missing record could be a change that a later one names as its base: folding on would let a change
            // lose here that won elsewhere.
            throw new IllegalStateException("record " + offset + " does not follow record " + through
                    + ", the last one folded in; expected record " + (through + 1));
        }
        through = offset;
        switch (entry.record()) {
            case Change change -> judge(change, offset);
            case RosterChange change -> applyRoster(change, offset);
            case LogRecord.SnapshotPart ignored -> {}
            case LogRecord.ClaimBatch ignored -> {}
            case LogRecord.Unreadable ignored -> {}
        }
    }

    private void judge(Change change, long offset) {
        long version = versionOf(change.key());
        boolean won = change.base() == version;
        if (won) {
            put(new StateEntry(change.key(), offset, change.body()));
        }
        remember(new Judgement(change, offset, won, won ? offset : version));
    }

    private void remember(Judgement judgement) {
        judgementsByOffset.put(judgement.offset(), judgement);
        // The first record of a change id decides: a copy that the network doubled always crosses the first one.
        judgementsById.putIfAbsent(judgement.change().changeId(), judgement);
        if (judgementsByOffset.size() <= REMEMBERED_CHANGES) {
            return;
        }
        Iterator<Judgement> oldest = judgementsByOffset.values().iterator();
        Judgement dropped = oldest.next();
        oldest.remove();
        judgementsById.remove(dropped.change().changeId(), dropped);
    }

    private void applyRoster(RosterChange change, long offset) {
        NodeId subject = change.subject();
        StateMember current = members.get(subject.vm());
        boolean present = current != null && current.node().equals(subject);
        switch (change.kind()) {
            case JOIN -> {
                boolean superseded = current != null && current.node().incarnation() >= subject.incarnation();
                if (superseded || change.address().isEmpty()) {
                    return;
                }
                put(new StateMember(subject, offset, change.address().get()));
            }
            case LEAVE -> {
                if (!present) {
                    return;
                }
                drop(current);
            }
            case REMOVE -> {
                // A node that was itself removed must not take others along: it may be cut off without knowing it.
                if (!present || !isMember(change.author())) {
                    return;
                }
                drop(current);
            }
            default -> throw new IllegalStateException("unknown roster change " + change.kind());
        }
        rosterOffset = offset;
    }

    private void put(StateEntry entry) {
        StateEntry before = entries.put(entry.key(), entry);
        digest += CanonicalForm.hash(entry);
        if (before != null) {
            digest -= CanonicalForm.hash(before);
            noteService(before, false);
        }
        noteService(entry, true);
    }

    private void noteService(StateEntry entry, boolean inForce) {
        if (entry.body() instanceof Body.DomainService service && entry.key().equals(service.key())) {
            keep(domainsOut, service.domain(), inForce && service.out());
        }
        if (entry.body() instanceof Body.VmService service && entry.key().equals(service.key())) {
            keep(vmsOut, service.vm(), inForce && service.out());
        }
    }

    private static <T> void keep(Set<T> set, T item, boolean in) {
        if (in) {
            set.add(item);
            return;
        }
        set.remove(item);
    }

    private void put(StateMember member) {
        StateMember before = members.put(member.node().vm(), member);
        digest += CanonicalForm.hash(member);
        if (before != null) {
            digest -= CanonicalForm.hash(before);
        }
    }

    private void drop(StateMember member) {
        members.remove(member.node().vm());
        digest -= CanonicalForm.hash(member);
    }

    /**
     * Takes over a whole state that somebody else folded, if it is newer than this one.
     *
     * @param newThrough the last offset that is in it
     * @param newEntries its configuration
     * @param newMembers its roster
     * @return whether it was taken; never when it is not newer, so that an old snapshot or a stale peer reverts nothing
     */
    public boolean adopt(long newThrough, List<StateEntry> newEntries, List<StateMember> newMembers) {
        if (newThrough <= through || !wellFormed(newThrough, newEntries, newMembers)) {
            return false;
        }
        replace(newThrough, newEntries, newMembers);
        return true;
    }

    /**
     * Replaces a state that was found corrupt by another of at least the same offset.
     *
     * @param expectedDigest the digest that the state must have to be taken
     * @param newThrough the last offset that is in it
     * @param newEntries its configuration
     * @param newMembers its roster
     * @return whether it was taken
     */
    public boolean repair(
            long expectedDigest, long newThrough, List<StateEntry> newEntries, List<StateMember> newMembers) {
        if (newThrough < through || !wellFormed(newThrough, newEntries, newMembers)) {
            return false;
        }
        if (digestOf(newEntries, newMembers) != expectedDigest) {
            return false;
        }
        replace(newThrough, newEntries, newMembers);
        return true;
    }

    private static boolean wellFormed(long newThrough, List<StateEntry> newEntries, List<StateMember> newMembers) {
        for (StateEntry entry : newEntries) {
            if (entry.version() < 1 || entry.version() > newThrough) {
                return false;
            }
        }
        for (StateMember member : newMembers) {
            if (member.joined() < 1 || member.joined() > newThrough) {
                return false;
            }
        }
        return true;
    }

    private void replace(long newThrough, List<StateEntry> newEntries, List<StateMember> newMembers) {
        Map<String, StateEntry> before = new TreeMap<>(entries);
        entries.clear();
        members.clear();
        domainsOut.clear();
        vmsOut.clear();
        digest = 0;
        for (StateEntry entry : newEntries) {
            put(readable(entry, before.get(entry.key())));
        }
        for (StateMember member : newMembers) {
            put(member);
        }
        through = newThrough;
        rosterOffset = newThrough;
    }

    /** An older program hands on bodies that it cannot read: what this one read of the same version stays. */
    private static StateEntry readable(StateEntry offered, StateEntry own) {
        boolean same = own != null && own.version() == offered.version();
        return same && offered.body() instanceof Body.Unknown ? own : offered;
    }

    private static long digestOf(List<StateEntry> entries, List<StateMember> members) {
        long sum = 0;
        for (StateEntry entry : entries) {
            sum += CanonicalForm.hash(entry);
        }
        for (StateMember member : members) {
            sum += CanonicalForm.hash(member);
        }
        return sum;
    }

    @Override
    public long through() {
        return through;
    }

    /**
     * The sum of the hashes of all entries and members, kept up with each change. Equal at equal offsets, whatever the
     * order in which the parts came.
     */
    public long digest() {
        return digest;
    }

    /**
     * The offset of the last record that changed the roster; after {@link #adopt} the offset of the state that was
     * taken, since the record itself is not known.
     */
    public long rosterOffset() {
        return rosterOffset;
    }

    /** All keys that were ever set, removed ones included, in order of key. */
    public List<StateEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** The roster in order of VM. */
    public List<StateMember> members() {
        return List.copyOf(members.values());
    }

    /** The member on a VM, if there is one. */
    public Optional<StateMember> member(VmId vm) {
        return Optional.ofNullable(members.get(vm));
    }

    /** Whether exactly this run of the daemon is in the roster. */
    public boolean isMember(NodeId node) {
        StateMember member = members.get(node.vm());
        return member != null && member.node().equals(node);
    }

    /** The version of a key; 0 if it was never set. */
    public long versionOf(String key) {
        StateEntry entry = entries.get(key);
        return entry == null ? 0 : entry.version();
    }

    /** What a key holds, if it was ever set. */
    public Optional<StateEntry> entry(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** Whether the record at an offset is one of the newest changes and won. */
    public boolean won(long offset) {
        Judgement judgement = judgementsByOffset.get(offset);
        return judgement != null && judgement.won();
    }

    /** What became of a change, if its record was folded in here and is one of the newest. */
    public Optional<Judgement> judgement(String changeId) {
        return Optional.ofNullable(judgementsById.get(changeId));
    }

    @Override
    public Optional<VersionedTemplate> template(TemplateId id) {
        StateEntry entry = entries.get("template/" + id);
        if (entry == null || !(entry.body() instanceof Template template)) {
            return Optional.empty();
        }
        return Optional.of(new VersionedTemplate(entry.version(), template));
    }

    @Override
    public Collection<TemplateId> templates() {
        List<TemplateId> found = new ArrayList<>();
        for (StateEntry entry : entries.values()) {
            if (entry.body() instanceof Template template) {
                found.add(template.id());
            }
        }
        return found;
    }

    @Override
    public Optional<CustomerContract> customer(CustomerId id) {
        StateEntry entry = entries.get(Body.customerKey(id));
        if (entry == null || !(entry.body() instanceof CustomerContract customer)) {
            return Optional.empty();
        }
        return Optional.of(customer);
    }

    @Override
    public Collection<CustomerId> customers() {
        List<CustomerId> found = new ArrayList<>();
        for (StateEntry entry : entries.values()) {
            if (entry.body() instanceof CustomerContract customer) {
                found.add(customer.id());
            }
        }
        return found;
    }

    @Override
    public PoolContract pool(PoolId id) {
        StateEntry entry = entries.get("pool/" + id);
        if (entry == null || !(entry.body() instanceof PoolContract pool)) {
            return PoolContract.unspecified(id);
        }
        return pool;
    }

    @Override
    public Collection<PlacementContract> placements() {
        List<PlacementContract> found = new ArrayList<>();
        for (StateEntry entry : entries.values()) {
            if (entry.body() instanceof PlacementContract placement) {
                found.add(placement);
            }
        }
        return found;
    }

    @Override
    public boolean inService(Vm vm) {
        return !domainsOut.contains(vm.domain()) && !vmsOut.contains(vm.id());
    }
}
