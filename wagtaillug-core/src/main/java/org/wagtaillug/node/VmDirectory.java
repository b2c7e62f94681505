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

/** The platform's list as last read, by pool. */
final class VmDirectory {
    private final Configuration configuration;
    private final Map<VmId, Vm> byId = new LinkedHashMap<>();
    private final Map<PoolId, List<Vm>> byPool = new HashMap<>();
    private final Map<PoolId, List<Vm>> inService = new HashMap<>();
    private long judgedThrough = -1;
    private boolean read;

    VmDirectory(Configuration configuration) {
        this.configuration = configuration;
    }

    void replace(List<Vm> vms) {
        byId.clear();
        byPool.clear();
        inService.clear();
        read = true;
        for (Vm vm : vms) {
            byId.put(vm.id(), vm);
            vm.pool().ifPresent(pool -> byPool.computeIfAbsent(pool, ignored -> new ArrayList<>())
                    .add(vm));
        }
    }

    /** Whether the list was read at all. */
    boolean read() {
        return read;
    }

    Optional<Vm> find(VmId id) {
        return Optional.ofNullable(byId.get(id));
    }

    List<Vm> upstreams() {
        List<Vm> upstreams = new ArrayList<>();
        byPool.values().forEach(upstreams::addAll);
        return upstreams;
    }

    /** The upstreams of a pool that may take new work; judged anew when the list or the configuration changes. */
    List<Vm> inPool(PoolId pool) {
        if (judgedThrough != configuration.through()) {
            inService.clear();
            judgedThrough = configuration.through();
        }
        return inService.computeIfAbsent(pool, this::judge);
    }

    private List<Vm> judge(PoolId pool) {
        List<Vm> usable = new ArrayList<>();
        for (Vm vm : byPool.getOrDefault(pool, List.of())) {
            if (mayTakeWork(vm)) {
                usable.add(vm);
            }
        }
        return List.copyOf(usable);
    }

    boolean mayTakeWork(Vm vm) {
        return !vm.leaving() && configuration.inService(vm);
    }
}
