package org.wagtaillug.standin.platform;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.standin.http.ActiveFaults;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.VmsOptions;

/**
 * The VM list. Changes become visible after the configured delay, in the order of their arrival. The list survives a
 * restart.
 */
public final class VmList implements StandIn {
    private record Change(long showsAt, String vm, Optional<Vm> entry) {}

    private record Listed(List<Vm> vms) {}

    private final String name;
    private final VmsOptions options;
    private final Timers timers;
    private final ActiveFaults faults = new ActiveFaults();
    private final Map<String, Vm> accepted = new TreeMap<>();
    private final Map<String, Vm> visible = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();

    /** Creates an empty list. */
    public VmList(String name, VmsOptions options, Timers timers) {
        this.name = name;
        this.options = options;
        this.timers = timers;
    }

    /** Adds a VM that is visible immediately. */
    public synchronized void register(Vm vm) {
        accepted.put(vm.vm(), vm);
        visible.put(vm.vm(), vm);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String kind() {
        return "vms";
    }

    @Override
    public ActiveFaults faults() {
        return faults;
    }

    @Override
    public boolean allowsAnswerFaults(Exchange exchange) {
        return true;
    }

    @Override
    public synchronized void handle(Exchange exchange) {
        List<String> path = exchange.segments();
        if (path.isEmpty() || !path.get(0).equals("vms") || path.size() > 2) {
            exchange.refuse(404, exchange.path() + ": expected /vms or /vms/{vm}");
            return;
        }
        String call = exchange.method() + (path.size() == 2 ? " vm" : "");
        switch (call) {
            case "GET" -> list(exchange);
            case "PUT vm" -> put(exchange, path.get(1));
            case "DELETE vm" -> delete(exchange, path.get(1));
            default -> exchange.refuse(405, "expected GET /vms, PUT /vms/{vm} or DELETE /vms/{vm}");
        }
    }

    @Override
    public void restart(long downMillis) {
        // There is no running work that a restart could interrupt.
    }

    private void list(Exchange exchange) {
        long now = timers.now();
        while (!changes.isEmpty() && changes.peek().showsAt() <= now) {
            applyChange(changes.poll());
        }
        Listed listed = new Listed(new ArrayList<>(visible.values()));
        long extraMillis = faults.scaled(options.lagMillis()) - options.lagMillis();
        if (extraMillis <= 0) {
            exchange.answer(200, listed);
            return;
        }
        timers.after(extraMillis, () -> exchange.answer(200, listed));
    }

    private void applyChange(Change change) {
        if (change.entry().isPresent()) {
            visible.put(change.vm(), change.entry().get());
            return;
        }
        visible.remove(change.vm());
    }

    private void put(Exchange exchange, String vm) {
        Either<String, Vm> read = Json.read(exchange.body(), Vm.class);
        if (read.isLeft()) {
            exchange.refuse(400, read.getLeft());
            return;
        }
        Vm entry = read.get();
        Optional<String> problem = entry.problem();
        if (problem.isPresent()) {
            exchange.refuse(400, problem.get());
            return;
        }
        if (!entry.vm().equals(vm)) {
            exchange.refuse(400, "vm: found '" + entry.vm() + "', expected '" + vm + "' as in the path");
            return;
        }
        accepted.put(vm, entry);
        changes.add(new Change(timers.now() + options.lagMillis(), vm, Optional.of(entry)));
        exchange.answer(200, entry);
    }

    private void delete(Exchange exchange, String vm) {
        Vm entry = accepted.remove(vm);
        if (entry == null) {
            exchange.refuse(404, "vm '" + vm + "' is not listed");
            return;
        }
        changes.add(new Change(timers.now() + options.lagMillis(), vm, Optional.empty()));
        exchange.answer(200, entry);
    }
}
