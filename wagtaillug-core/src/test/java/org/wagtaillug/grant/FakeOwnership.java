package org.wagtaillug.grant;

import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.membership.Ownership;
import org.wagtaillug.membership.Vm;

/** One node's view of the roster, set directly by a test, with one owner for all upstreams. */
public class FakeOwnership implements Ownership {
    public final Set<NodeId> members = new TreeSet<>();
    public Optional<NodeId> owner = Optional.empty();
    public long fencingNumber = 1;
    public BooleanSupplier grantAllowed = () -> true;
    private final NodeId self;

    public FakeOwnership(NodeId self) {
        this.self = self;
        members.add(self);
    }

    @Override
    public Optional<NodeId> ownerOf(Vm upstream) {
        return owner;
    }

    @Override
    public NodeId self() {
        return self;
    }

    @Override
    public Collection<NodeId> members() {
        return members;
    }

    @Override
    public boolean mayGrant(Vm upstream, Instant now) {
        return owner.equals(Optional.of(self)) && grantAllowed.getAsBoolean();
    }

    @Override
    public long fencingNumber(Vm upstream) {
        return owner.equals(Optional.of(self)) ? fencingNumber : 0;
    }
}
