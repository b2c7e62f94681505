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
 * The configuration and the roster, derived by applying the records of the control stream in order of offset. Two
 * states at the same offset are equal, whether they were built from the first record, from a snapshot or from a peer's
 * state.
 *
 * <p>A change takes effect if and only if its base equals the version of the key when the change is applied. The rule
 * uses only keys and versions, so that a program that cannot read a body still agrees on which changes took effect.
 */
public final class ControlState implements Configuration {
    /** The number of newest changes whose outcome {@link #changeOutcome} and {@link #wasApplied} know. */
    static final int MAX_RETAINED_OUTCOMES = 512;

    private final Map<String, StateEntry> entries = new TreeMap<>();
    private final Map<VmId, StateMember> members = new TreeMap<>();
    private final Set<DomainId> domainsOut = new HashSet<>();
    private final Set<VmId> vmsOut = new HashSet<>();
    private final Map<Long, ChangeOutcome> outcomesByOffset = new LinkedHashMap<>();
    private final Map<String, ChangeOutcome> outcomesByChangeId = new LinkedHashMap<>();
    private long through;
    private long digest;
    private long rosterOffset;

    /**
     * Applies the next record. A record that was applied before is ignored.
     *
     * @throws IllegalStateException if a record in between was not applied
     */
    public void apply(LogBatch.Entry entry) {
        long offset = entry.offset();
        if (offset <= through) {
            return;
        }
        if (offset != through + 1) {
            // A missing record could be a change that a later one names as its base: going on would reject a change
            // here that took effect at other nodes.
            throw new IllegalStateException("record " + offset + " does not follow record " + through
                    + ", the last one applied; expected record " + (through + 1));
        }
        through = offset;
        switch (entry.record()) {
            case Change change -> applyChange(change, offset);
            case RosterChange change -> applyRoster(change, offset);
            case LogRecord.SnapshotPart ignored -> {}
            case LogRecord.ClaimBatch ignored -> {}
            case LogRecord.Unreadable ignored -> {}
        }
    }

    private void applyChange(Change change, long offset) {
        long version = versionOf(change.key());
        boolean applied = change.base() == version;
        if (applied) {
            put(new StateEntry(change.key(), offset, change.body()));
        }
        retainOutcome(new ChangeOutcome(change, offset, applied, applied ? offset : version));
    }

    private void retainOutcome(ChangeOutcome outcome) {
        outcomesByOffset.put(outcome.offset(), outcome);
        // The first record with a change id decides: a copy that was duplicated by the network always conflicts with
        // the first one.
        outcomesByChangeId.putIfAbsent(outcome.change().changeId(), outcome);
        if (outcomesByOffset.size() <= MAX_RETAINED_OUTCOMES) {
            return;
        }
        Iterator<ChangeOutcome> oldest = outcomesByOffset.values().iterator();
        ChangeOutcome dropped = oldest.next();
        oldest.remove();
        outcomesByChangeId.remove(dropped.change().changeId(), dropped);
    }

    private void applyRoster(RosterChange change, long offset) {
        NodeId subject = change.subject();
        StateMember current = members.get(subject.vm());
        boolean present = current != null && current.node().equals(subject);
        switch (change.kind()) {
            case JOIN -> {
                boolean outdated = current != null && current.node().incarnation() >= subject.incarnation();
                if (outdated || change.address().isEmpty()) {
                    return;
                }
                put(new StateMember(subject, offset, change.address().get()));
            }
            case LEAVE -> {
                if (!present) {
                    return;
                }
                remove(current);
            }
            case REMOVE -> {
                // A removed node must not remove others: it may be partitioned from the log without knowing it.
                if (!present || !isMember(change.author())) {
                    return;
                }
                remove(current);
            }
            default -> throw new IllegalStateException("unknown roster change " + change.kind());
        }
        rosterOffset = offset;
    }

    private void put(StateEntry entry) {
        StateEntry previous = entries.put(entry.key(), entry);
        digest += CanonicalEncoding.hash(entry);
        if (previous != null) {
            digest -= CanonicalEncoding.hash(previous);
            updateServiceState(previous, false);
        }
        updateServiceState(entry, true);
    }

    private void updateServiceState(StateEntry entry, boolean added) {
        if (entry.body() instanceof Body.DomainService service && entry.key().equals(service.key())) {
            setPresent(domainsOut, service.domain(), added && service.out());
        }
        if (entry.body() instanceof Body.VmService service && entry.key().equals(service.key())) {
            setPresent(vmsOut, service.vm(), added && service.out());
        }
    }

    private static <T> void setPresent(Set<T> set, T item, boolean present) {
        if (present) {
            set.add(item);
            return;
        }
        set.remove(item);
    }

    private void put(StateMember member) {
        StateMember previous = members.put(member.node().vm(), member);
        digest += CanonicalEncoding.hash(member);
        if (previous != null) {
            digest -= CanonicalEncoding.hash(previous);
        }
    }

    private void remove(StateMember member) {
        members.remove(member.node().vm());
        digest -= CanonicalEncoding.hash(member);
    }

    /**
     * Adopts a complete state that was built elsewhere, if it is newer than this one.
     *
     * @param newThrough the last offset that the state includes
     * @param newEntries its configuration
     * @param newMembers its roster
     * @return whether it was adopted; a state that is not newer never is, so that an old snapshot or a stale peer
     *     reverts nothing
     */
    public boolean adopt(long newThrough, List<StateEntry> newEntries, List<StateMember> newMembers) {
        if (newThrough <= through || !isWellFormed(newThrough, newEntries, newMembers)) {
            return false;
        }
        replaceAll(newThrough, newEntries, newMembers);
        return true;
    }

    /**
     * Replaces a state that was found corrupt with another one of at least the same offset.
     *
     * @param expectedDigest the digest that the new state must have
     * @param newThrough the last offset that the state includes
     * @param newEntries its configuration
     * @param newMembers its roster
     * @return whether the state was replaced
     */
    public boolean repair(
            long expectedDigest, long newThrough, List<StateEntry> newEntries, List<StateMember> newMembers) {
        if (newThrough < through || !isWellFormed(newThrough, newEntries, newMembers)) {
            return false;
        }
        if (digestOf(newEntries, newMembers) != expectedDigest) {
            return false;
        }
        replaceAll(newThrough, newEntries, newMembers);
        return true;
    }

    private static boolean isWellFormed(long newThrough, List<StateEntry> newEntries, List<StateMember> newMembers) {
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

    private void replaceAll(long newThrough, List<StateEntry> newEntries, List<StateMember> newMembers) {
        Map<String, StateEntry> previous = new TreeMap<>(entries);
        entries.clear();
        members.clear();
        domainsOut.clear();
        vmsOut.clear();
        digest = 0;
        for (StateEntry entry : newEntries) {
            put(preferReadable(entry, previous.get(entry.key())));
        }
        for (StateMember member : newMembers) {
            put(member);
        }
        through = newThrough;
        rosterOffset = newThrough;
    }

    /**
     * A peer that runs an older program sends bodies that it cannot read; if this node has read the body of the same
     * version, it keeps its own.
     */
    private static StateEntry preferReadable(StateEntry offered, StateEntry own) {
        boolean sameVersion = own != null && own.version() == offered.version();
        return sameVersion && offered.body() instanceof Body.Unknown ? own : offered;
    }

    private static long digestOf(List<StateEntry> entries, List<StateMember> members) {
        long sum = 0;
        for (StateEntry entry : entries) {
            sum += CanonicalEncoding.hash(entry);
        }
        for (StateMember member : members) {
            sum += CanonicalEncoding.hash(member);
        }
        return sum;
    }

    @Override
    public long through() {
        return through;
    }

    /**
     * The sum of the hashes of all entries and members, updated with each change. Equal for equal states, in whatever
     * order the items were added.
     */
    public long digest() {
        return digest;
    }

    /**
     * The offset of the last record that changed the roster; after {@link #adopt} the offset of the adopted state,
     * because the record itself is not known.
     */
    public long rosterOffset() {
        return rosterOffset;
    }

    /** All keys that were ever set, including removed ones, ordered by key. */
    public List<StateEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** The roster, ordered by VM. */
    public List<StateMember> members() {
        return List.copyOf(members.values());
    }

    /** The member on a VM, if there is one. */
    public Optional<StateMember> member(VmId vm) {
        return Optional.ofNullable(members.get(vm));
    }

    /** Whether exactly this incarnation of the node is in the roster. */
    public boolean isMember(NodeId node) {
        StateMember member = members.get(node.vm());
        return member != null && member.node().equals(node);
    }

    /** The version of a key; 0 if it was never set. */
    public long versionOf(String key) {
        StateEntry entry = entries.get(key);
        return entry == null ? 0 : entry.version();
    }

    /** The entry of a key, if it was ever set. */
    public Optional<StateEntry> entry(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** Whether the record at an offset is one of the newest changes and took effect. */
    public boolean wasApplied(long offset) {
        ChangeOutcome outcome = outcomesByOffset.get(offset);
        return outcome != null && outcome.applied();
    }

    /** The outcome of a change, if this node applied its record and it is one of the newest. */
    public Optional<ChangeOutcome> changeOutcome(String changeId) {
        return Optional.ofNullable(outcomesByChangeId.get(changeId));
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
