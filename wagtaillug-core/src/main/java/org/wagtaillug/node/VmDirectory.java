package org.wagtaillug.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.configuration.Configuration;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;

/** The platform's VM list as last read, indexed by id and by pool. */
final class VmDirectory {
    private final Configuration configuration;
    private final Map<VmId, Vm> byId = new LinkedHashMap<>();
    private final Map<PoolId, List<Vm>> byPool = new HashMap<>();
    private final Map<PoolId, List<Vm>> inServiceByPool = new HashMap<>();
    private long cachedThrough = -1;
    private boolean loaded;

    VmDirectory(Configuration configuration) {
        this.configuration = configuration;
    }

    void replace(List<Vm> vms) {
        byId.clear();
        byPool.clear();
        inServiceByPool.clear();
        loaded = true;
        for (Vm vm : vms) {
            byId.put(vm.id(), vm);
            vm.pool().ifPresent(pool -> byPool.computeIfAbsent(pool, ignored -> new ArrayList<>())
                    .add(vm));
        }
    }

    /** Whether the list has been read at least once. */
    boolean isLoaded() {
        return loaded;
    }

    Optional<Vm> find(VmId id) {
        return Optional.ofNullable(byId.get(id));
    }

    List<Vm> upstreams() {
        List<Vm> upstreams = new ArrayList<>();
        byPool.values().forEach(upstreams::addAll);
        return upstreams;
    }

    /** The upstreams of a pool that may take new work. Cached until the list or the configuration changes. */
    List<Vm> inPool(PoolId pool) {
        if (cachedThrough != configuration.through()) {
            inServiceByPool.clear();
            cachedThrough = configuration.through();
        }
        return inServiceByPool.computeIfAbsent(pool, this::filterInService);
    }

    private List<Vm> filterInService(PoolId pool) {
        List<Vm> accepting = new ArrayList<>();
        for (Vm vm : byPool.getOrDefault(pool, List.of())) {
            if (mayTakeWork(vm)) {
                accepting.add(vm);
            }
        }
        return List.copyOf(accepting);
    }

    boolean mayTakeWork(Vm vm) {
        return !vm.leaving() && configuration.inService(vm);
    }
}
