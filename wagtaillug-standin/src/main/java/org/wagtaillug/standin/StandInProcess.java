package org.wagtaillug.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.StandInServer;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.CommonOptions;
import org.wagtaillug.standin.platform.Vm;
import org.wagtaillug.standin.platform.VmList;

/**
 * Runs one or more stand-ins in this process, each on its own port.
 *
 * <pre>
 * try (StandInProcess process = StandInProcess.start(layout)) {
 *     int port = process.port("engine-1");
 * }
 * </pre>
 */
public final class StandInProcess implements AutoCloseable {
    /**
     * The startup message, printed when all ports are listening.
     *
     * @param event always {@code listening}
     * @param standins the endpoint of each stand-in
     */
    public record Listening(String event, List<Endpoint> standins) {}

    /** The address and port of one stand-in. */
    public record Endpoint(String name, String kind, String address, int port) {}

    private final Timers timers = new Timers();
    private final StandInServer server = new StandInServer(timers);
    private final Map<String, StandIn> standIns = new LinkedHashMap<>();
    private final Map<String, CommonOptions> options = new LinkedHashMap<>();

    private StandInProcess() {}

    /**
     * Starts one stand-in, named after its kind.
     *
     * @throws IOException if its port cannot be opened
     */
    public static StandInProcess start(StandInKind kind, CommonOptions options) throws IOException {
        return start(new Layout(List.of(new Layout.Entry(kind, kind.optionName(), "", "", "", options)), List.of()));
    }

    /**
     * Starts all stand-ins of a layout and registers its upstreams and nodes in its VM lists.
     *
     * @throws IOException if a port cannot be opened; all stand-ins are stopped in that case
     */
    public static StandInProcess start(Layout layout) throws IOException {
        StandInProcess process = new StandInProcess();
        try {
            process.open(layout);
        } catch (IOException failure) {
            process.close();
            throw failure;
        }
        return process;
    }

    public int port(String name) {
        return server.port(standIns.get(name));
    }

    /** Returns the startup message with the endpoints of all stand-ins. */
    public Listening listening() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Map.Entry<String, StandIn> entry : standIns.entrySet()) {
            String name = entry.getKey();
            endpoints.add(new Endpoint(
                    name, entry.getValue().kind(), options.get(name).address(), port(name)));
        }
        return new Listening("listening", endpoints);
    }

    @Override
    public void close() {
        server.close();
        timers.close();
    }

    private void open(Layout layout) throws IOException {
        for (Layout.Entry entry : layout.standIns()) {
            StandIn standIn = StandInKind.create(entry.name(), entry.options(), timers);
            standIns.put(entry.name(), standIn);
            options.put(entry.name(), entry.options());
            server.add(standIn, entry.options().address(), entry.options().port());
        }
        server.start();
        for (StandIn standIn : standIns.values()) {
            if (standIn instanceof VmList list) {
                register(layout, list);
            }
        }
    }

    private void register(Layout layout, VmList list) {
        layout.nodes().forEach(list::register);
        for (Layout.Entry entry : layout.standIns()) {
            if (!entry.kind().isUpstream()) {
                continue;
            }
            list.register(new Vm(
                    entry.name(),
                    "upstream",
                    entry.pool(),
                    entry.domain(),
                    entry.region(),
                    entry.options().address(),
                    port(entry.name()),
                    "live"));
        }
    }
}
