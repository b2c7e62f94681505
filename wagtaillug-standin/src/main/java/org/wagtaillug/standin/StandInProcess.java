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
 * One process with one stand-in or many, each on its own port.
 *
 * <pre>
 * try (StandInProcess process = StandInProcess.start(layout)) {
 *     int port = process.port("engine-1");
 * }
 * </pre>
 */
public final class StandInProcess implements AutoCloseable {
    /**
     * The line that tells that all ports listen.
     *
     * @param event always {@code listening}
     * @param standins who listens where
     */
    public record Listening(String event, List<Place> standins) {}

    /** Where one stand-in listens. */
    public record Place(String name, String kind, String address, int port) {}

    private final Timers timers = new Timers();
    private final StandInServer server = new StandInServer(timers);
    private final Map<String, StandIn> standIns = new LinkedHashMap<>();
    private final Map<String, CommonOptions> options = new LinkedHashMap<>();

    private StandInProcess() {}

    /**
     * Starts one stand-in; its name is its kind.
     *
     * @throws IOException when its port cannot be had
     */
    public static StandInProcess start(StandInKind kind, CommonOptions options) throws IOException {
        return start(new Layout(List.of(new Layout.Entry(kind, kind.optionName(), "", "", "", options)), List.of()));
    }

    /**
     * Starts all stand-ins of a layout; its VM lists show its upstreams and nodes.
     *
     * @throws IOException when a port cannot be had; nothing is left running then
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

    /** Returns the port of a stand-in. */
    public int port(String name) {
        return server.port(standIns.get(name));
    }

    /** Returns who listens where. */
    public Listening listening() {
        List<Place> places = new ArrayList<>();
        for (Map.Entry<String, StandIn> entry : standIns.entrySet()) {
            String name = entry.getKey();
            places.add(
                    new Place(name, entry.getValue().kind(), options.get(name).address(), port(name)));
        }
        return new Listening("listening", places);
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
