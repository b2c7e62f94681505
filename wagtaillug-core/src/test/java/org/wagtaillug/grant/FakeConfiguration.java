package org.wagtaillug.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.configuration.Configuration;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;

/** A configuration with one contract for all pools and a set of VMs that are out of service. */
public final class FakeConfiguration implements Configuration {
    public final List<PlacementContract> placements = new ArrayList<>();
    public final Set<VmId> outOfService = new HashSet<>();
    private final PoolContract contract;

    public FakeConfiguration(int coldLimit, int warmAfter, int warmLimit) {
        this.contract = new PoolContract(new PoolId("any"), coldLimit, warmAfter, warmLimit, false, false);
    }

    @Override
    public Optional<VersionedTemplate> template(TemplateId id) {
        return Optional.empty();
    }

    @Override
    public Collection<TemplateId> templates() {
        return List.of();
    }

    @Override
    public Optional<CustomerContract> customer(CustomerId id) {
        return Optional.empty();
    }

    @Override
    public Collection<CustomerId> customers() {
        return List.of();
    }

    @Override
    public PoolContract pool(PoolId id) {
        return contract;
    }

    @Override
    public Collection<PlacementContract> placements() {
        return placements;
    }

    @Override
    public boolean inService(Vm vm) {
        return !outOfService.contains(vm.id());
    }

    @Override
    public long through() {
        return 0;
    }
}
