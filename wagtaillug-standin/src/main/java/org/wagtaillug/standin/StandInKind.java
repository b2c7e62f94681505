package org.wagtaillug.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.CommonOptions;
import org.wagtaillug.standin.options.EngineOptions;
import org.wagtaillug.standin.options.LogOptions;
import org.wagtaillug.standin.options.ServiceOptions;
import org.wagtaillug.standin.options.StageOptions;
import org.wagtaillug.standin.options.VmsOptions;
import org.wagtaillug.standin.options.WeightsOptions;
import org.wagtaillug.standin.platform.LogService;
import org.wagtaillug.standin.platform.VmList;
import org.wagtaillug.standin.platform.WeightStore;
import org.wagtaillug.standin.upstream.Engine;
import org.wagtaillug.standin.upstream.PlainService;
import org.wagtaillug.standin.upstream.StageServer;

/** The kinds of stand-in; each is a subcommand and a value of {@code kind} in a layout entry. */
public enum StandInKind {
    /** The log service. */
    LOG(LogOptions.class, false),
    /** The VM list. */
    VMS(VmsOptions.class, false),
    /** A model engine. */
    ENGINE(EngineOptions.class, true),
    /** A server of a stage pool. */
    STAGE(StageOptions.class, true),
    /** A service without stages or model, such as billing. */
    SERVICE(ServiceOptions.class, true),
    /** The weight store. */
    WEIGHTS(WeightsOptions.class, false);

    /** The names of all kinds. */
    public static final List<String> NAMES = names();

    private final Class<? extends CommonOptions> optionsType;
    private final boolean upstream;

    StandInKind(Class<? extends CommonOptions> optionsType, boolean upstream) {
        this.optionsType = optionsType;
        this.upstream = upstream;
    }

    /** Returns the kind with a name from {@link #NAMES}. */
    public static StandInKind of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /** Returns the name used in commands and layouts. */
    public String optionName() {
        return name().toLowerCase(Locale.ROOT);
    }

    public Class<? extends CommonOptions> optionsType() {
        return optionsType;
    }

    /** Returns whether stand-ins of this kind are upstreams and registered in the VM list. */
    public boolean isUpstream() {
        return upstream;
    }

    /** Creates a stand-in of the kind that matches the type of the options. */
    public static StandIn create(String name, CommonOptions options, Timers timers) {
        return switch (options) {
            case LogOptions log -> new LogService(name, log, timers);
            case VmsOptions vms -> new VmList(name, vms, timers);
            case EngineOptions engine -> new Engine(name, engine, timers);
            case StageOptions stage -> new StageServer(name, stage, timers);
            case ServiceOptions service -> new PlainService(name, service, timers);
            case WeightsOptions weights -> new WeightStore(name, weights, timers);
            default -> throw new IllegalArgumentException("no stand-in kind for options of type " + options.getClass());
        };
    }

    private static List<String> names() {
        List<String> names = new ArrayList<>();
        for (StandInKind kind : values()) {
            names.add(kind.optionName());
        }
        return List.copyOf(names);
    }
}
