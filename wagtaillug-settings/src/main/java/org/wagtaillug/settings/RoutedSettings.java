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
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.rollout.RolloutLimits;

/**
 * The settings of a node that routes by host and path. docs/SETTINGS.md lists the fields.
 *
 * @param node its identity
 * @param listeners its listeners
 * @param store the address of the platform's store
 * @param seeds nodes that are likely to be running
 * @param retryLimits the limits on retries, for all nodes together
 * @param shutdownGrace time between the termination signal and the kill of the process
 * @param features the policy features in use
 * @param capacity the capacity of its processor, in cores of the slowest kind
 * @param coldBound the limit on requests to a cold upstream, from all nodes together
 * @param rolloutLimits the limit on requests to a candidate version, from all nodes together
 * @param contention when the policy features for contended or uneven upstreams take effect
 * @param agreements the names of agreements with the operator of the platform, whose meaning its adapter knows
 */
public record RoutedSettings(
        Identity node,
        Listeners listeners,
        Address store,
        List<VmId> seeds,
        RetryLimits retryLimits,
        Duration shutdownGrace,
        PolicyFeatures features,
        double capacity,
        ColdBound coldBound,
        RolloutLimits rolloutLimits,
        Contention contention,
        List<String> agreements) {
    /** Copies the lists. */
    public RoutedSettings {
        seeds = List.copyOf(seeds);
        agreements = List.copyOf(agreements);
    }

    /** Returns the same settings, with another value for when the policy features for contended upstreams take effect. */
    public RoutedSettings withContention(Contention when) {
        return new RoutedSettings(
                node,
                listeners,
                store,
                seeds,
                retryLimits,
                shutdownGrace,
                features,
                capacity,
                coldBound,
                rolloutLimits,
                when,
                agreements);
    }

    /**
     * The identity of a node.
     *
     * @param vm its IP address, by which the other nodes identify it
     * @param name its display name
     * @param domain its failure domain
     */
    public record Identity(VmId vm, String name, DomainId domain) {}

    /**
     * The listeners of a node.
     *
     * @param callers for requests
     * @param readiness for the balancer's readiness checks
     * @param administration for metrics
     * @param link for messages of the other nodes
     * @param tunnels for connections that the other nodes cannot open to upstreams themselves; empty if this node
     *     neither accepts nor uses tunnels
     */
    public record Listeners(
            Address callers, Address readiness, Address administration, Address link, Optional<Address> tunnels) {}

    /**
     * An IP address and a port.
     *
     * @param host the IP address
     * @param port 1 to 65535
     */
    public record Address(String host, int port) {
        private static final int MAX_PORT = 65_535;

        /** Parses, for example, {@code 10.1.0.41:8625}; empty if the text has another form. */
        public static Optional<Address> parse(String text) {
            int colon = text.lastIndexOf(':');
            if (colon <= 0) {
                return Optional.empty();
            }
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                boolean valid = port >= 1 && port <= MAX_PORT;
                return valid ? Optional.of(new Address(text.substring(0, colon), port)) : Optional.empty();
            } catch (NumberFormatException exception) {
                return Optional.empty();
            }
        }

        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /**
     * The limits on retries by all nodes together.
     *
     * @param window the length of the sliding window in which retries and requests are counted
     * @param ratio permitted retries per request
     * @param fixed permitted retries in addition to that
     */
    public record RetryLimits(Duration window, double ratio, double fixed) {}

    /**
     * The limit on requests per second to a cold upstream, from all nodes together.
     *
     * @param ratio the permitted multiple of the rate that a cold server handles according to its pool
     * @param fixed permitted requests per second in addition to that
     */
    public record ColdBound(double ratio, double fixed) {
        /** The default limit. */
        public static final ColdBound DEFAULT = new ColdBound(1.5, 5);
    }

    /** Reads a settings file; returns either all its problems or the settings. */
    public static Either<List<SettingsProblem>, RoutedSettings> load(Path file) {
        try {
            return RoutedSettingsReader.read(Files.readString(file), file.toString());
        } catch (IOException exception) {
            String found = "no readable file (" + exception.getMessage() + ")";
            return Either.left(
                    List.of(new SettingsProblem(file.toString(), 1, "", found, "a settings file", Optional.empty())));
        }
    }
}
