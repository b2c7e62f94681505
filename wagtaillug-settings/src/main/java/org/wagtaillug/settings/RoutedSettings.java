package org.wagtaillug.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.rollout.RolloutLimits;

/**
 * The settings of a node that routes by host and path. docs/SETTINGS.md lists the fields.
 *
 * @param node who it is
 * @param listen where it listens
 * @param store the address of the platform's store
 * @param seeds nodes that are likely to be there
 * @param repeats the bound on repeats that holds for all nodes together
 * @param shutdownGrace how long after the word to end the process is killed
 * @param features the ways of deciding that it uses
 * @param capacity its processor, in cores of the slowest kind
 * @param coldBound the bound on requests that a cold upstream gets from all nodes together
 * @param rolloutLimits the bound on requests that a candidate version gets from all nodes together
 */
public record RoutedSettings(
        Identity node,
        Listen listen,
        Address store,
        List<VmId> seeds,
        Repeats repeats,
        Duration shutdownGrace,
        PolicyFeatures features,
        double capacity,
        ColdBound coldBound,
        RolloutLimits rolloutLimits) {
    /** Copies the list. */
    public RoutedSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Who a node is.
     *
     * @param vm its IP number, by which the other nodes know it
     * @param name what people call it
     * @param domain its failure domain
     */
    public record Identity(VmId vm, String name, DomainId domain) {}

    /**
     * Where a node listens.
     *
     * @param callers for requests
     * @param readiness for the balancer's question
     * @param administration for metrics
     * @param link for the other nodes
     */
    public record Listen(Address callers, Address readiness, Address administration, Address link) {}

    /**
     * An IP number and a port.
     *
     * @param host the number
     * @param port 1 to 65535
     */
    public record Address(String host, int port) {
        private static final int HIGHEST_PORT = 65_535;

        /** Reads {@code 10.1.0.41:8625}; empty if the text has another form. */
        public static Optional<Address> parse(String text) {
            int colon = text.lastIndexOf(':');
            if (colon <= 0) {
                return Optional.empty();
            }
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                boolean valid = port >= 1 && port <= HIGHEST_PORT;
                return valid ? Optional.of(new Address(text.substring(0, colon), port)) : Optional.empty();
            } catch (NumberFormatException notNumber) {
                return Optional.empty();
            }
        }

        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /**
     * How often requests may be sent again, by all nodes together.
     *
     * @param window any span of this length counts
     * @param ratio repeats per request
     * @param fixed repeats beyond that
     */
    public record Repeats(Duration window, double ratio, double fixed) {}

    /**
     * How many requests a cold upstream may get in a second, from all nodes together.
     *
     * @param ratio of what its pool says that a cold server bears
     * @param fixed requests a second beyond that
     */
    public record ColdBound(double ratio, double fixed) {
        /** Holds unless the settings say otherwise. */
        public static final ColdBound DEFAULT = new ColdBound(1.5, 5);
    }

    /** Reads a settings file, or says everything that is wrong with it. */
    public static Either<List<SettingsProblem>, RoutedSettings> load(Path file) {
        try {
            return RoutedSettingsReader.read(Files.readString(file), file.toString());
        } catch (IOException fault) {
            String found = "no file that can be read (" + fault.getMessage() + ")";
            return Either.left(
                    List.of(new SettingsProblem(file.toString(), 1, "", found, "a settings file", Optional.empty())));
        }
    }
}
