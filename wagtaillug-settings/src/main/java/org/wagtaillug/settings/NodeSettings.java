package org.wagtaillug.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;

/**
 * The settings of one node, read when it starts; docs/SETTINGS.md lists each field.
 *
 * <pre>{@code
 * Either<List<SettingsProblem>, NodeSettings> settings = NodeSettings.load(Path.of("node-1.yaml"));
 * }</pre>
 *
 * @param node the identity of the node
 * @param callers the listener for callers
 * @param administration the listener for operators, and their access tokens
 * @param link the listener for other nodes
 * @param platform the addresses of the platform's services
 * @param seeds nodes to ask for a first roster, before the log has been read; default none
 * @param policy the scheduling policy; default {@link Policy#CURRENT}
 * @param limits the load limits of the node; see {@link Limits#DEFAULT}
 * @param log the destination of the log; see {@link Log#DEFAULT}
 * @param shutdownGrace time between the termination signal and the kill of the process; default
 *     {@link #DEFAULT_SHUTDOWN_GRACE}
 */
public record NodeSettings(
        Identity node,
        Listener callers,
        Administration administration,
        Link link,
        Platform platform,
        List<Seed> seeds,
        Policy policy,
        Limits limits,
        Log log,
        Duration shutdownGrace) {
    /** Default of the shutdown grace. */
    public static final Duration DEFAULT_SHUTDOWN_GRACE = Duration.ofSeconds(30);

    /** Copies the seeds. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * The identity of a node.
     *
     * @param vm the VM it runs on
     * @param domain its failure domain
     * @param region its region
     */
    public record Identity(VmId vm, DomainId domain, RegionId region) {}

    /**
     * An HTTP listener.
     *
     * @param address the IP address to listen on
     * @param port from 1 to 65535
     * @param tls the server certificate; empty for plain text
     */
    public record Listener(String address, int port, Optional<Certificate> tls) {}

    /**
     * A certificate with its key, both PEM files.
     *
     * @param certificate the chain, starting with the server's own certificate
     * @param key the private key, PKCS#8
     */
    public record Certificate(Path certificate, Path key) {}

    /**
     * The administration interface for operators.
     *
     * @param listener where it listens
     * @param accessTokens the permitted tokens, at least one
     */
    public record Administration(Listener listener, List<AccessToken> accessTokens) {
        /** Copies the tokens. */
        public Administration {
            accessTokens = List.copyOf(accessTokens);
        }
    }

    /**
     * The permissions of a token.
     *
     * @param token the secret that a request carries
     * @param role what its holder may do
     * @param operator its holder, for the record of changes
     */
    public record AccessToken(String token, Role role, OperatorId operator) {
        /** Omits the token, which must not be logged. */
        @Override
        public String toString() {
            return "Access[" + role + ", " + operator + "]";
        }
    }

    /** What the holder of a token may do. */
    public enum Role {
        /** Read and change. */
        OPERATOR,
        /** Read only. */
        READER
    }

    /**
     * The listener for other nodes.
     *
     * @param address the IP address at which other nodes reach this one, so not the wildcard address
     * @param port from 1 to 65535
     * @param tls empty for plain text
     */
    public record Link(String address, int port, Optional<LinkTls> tls) {}

    /**
     * The certificates for mutual TLS between nodes; PEM files.
     *
     * @param certificate this node's chain
     * @param key its private key, PKCS#8
     * @param trust the certificates of the authorities that sign the other nodes' certificates
     */
    public record LinkTls(Path certificate, Path key, Path trust) {}

    /**
     * The addresses of the platform's services.
     *
     * @param log the base URL of the log service
     * @param vms the base URL of the VM list
     * @param weights the base URL of the weight store
     * @param retention how long the log keeps a record; default 1 h
     */
    public record Platform(String log, String vms, String weights, Duration retention) {
        /** Default of the retention. */
        public static final Duration DEFAULT_RETENTION = Duration.ofHours(1);
    }

    /**
     * Another node.
     *
     * @param vm its VM
     * @param address its IP address
     * @param port the port of its link
     * @param domain its failure domain
     */
    public record Seed(VmId vm, String address, int port, DomainId domain) {}

    /** The scheduling policy of a node. */
    public enum Policy {
        /** The full policy, with all mechanisms. */
        CURRENT,
        /** The baseline that the current policy is compared with. */
        NAIVE
    }

    /**
     * The load limits of a node.
     *
     * @param requestsInFlight the maximum number of concurrent requests, at least 1; default 400
     * @param bodyBytes the maximum size of a request body; default 1,048,576
     * @param retryBudget the maximum ratio of retries to first attempts, 0 to 1; default 0.2
     * @param hedgeBudget the maximum ratio of hedges to first attempts, 0 to 1; default 0.05
     * @param senderTimeout the maximum time that a caller may take to send its request; default 10 s
     */
    public record Limits(
            int requestsInFlight, int bodyBytes, double retryBudget, double hedgeBudget, Duration senderTimeout) {
        /** The default limits. */
        public static final Limits DEFAULT = new Limits(400, 1_048_576, 0.2, 0.05, Duration.ofSeconds(10));
    }

    /**
     * The destination of the log.
     *
     * @param file the file to append to; empty for standard output
     * @param level the minimum level that is written; default {@code INFO}
     */
    public record Log(Optional<Path> file, System.Logger.Level level) {
        /** The default destination and level. */
        public static final Log DEFAULT = new Log(Optional.empty(), System.Logger.Level.INFO);
    }

    /**
     * Reads a settings file. Names of other files in it are resolved against its directory.
     *
     * @return all problems, or the settings; a file that cannot be read is a problem too
     */
    public static Either<List<SettingsProblem>, NodeSettings> load(Path file) {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (MalformedInputException exception) {
            return Either.left(List.of(unreadable(file, "bytes that are not valid UTF-8", "text in UTF-8")));
        } catch (IOException exception) {
            return Either.left(List.of(unreadable(file, "no readable file (" + exception + ")", "a file")));
        }
    }

    /**
     * Reads settings from a text.
     *
     * @param text the content
     * @param fileName its name, for the problems and for resolving names of other files
     */
    public static Either<List<SettingsProblem>, NodeSettings> parse(String text, String fileName) {
        return NodeSettingsReader.read(text, fileName);
    }

    private static SettingsProblem unreadable(Path file, String found, String expected) {
        return new SettingsProblem(file.toString(), 1, "", found, expected, Optional.empty());
    }

    /** Returns a builder with the defaults; callers, administration, link and platform must be set. */
    public static Builder builder(Identity node) {
        return new Builder(node);
    }

    /** Builder of {@link NodeSettings}. */
    public static final class Builder {
        private final Identity node;
        private Listener callers;
        private Administration administration;
        private Link link;
        private Platform platform;
        private final List<Seed> seeds = new ArrayList<>();
        private Policy policy = Policy.CURRENT;
        private Limits limits = Limits.DEFAULT;
        private Log log = Log.DEFAULT;
        private Duration shutdownGrace = DEFAULT_SHUTDOWN_GRACE;

        private Builder(Identity node) {
            this.node = Objects.requireNonNull(node);
        }

        /** Sets the listener for callers. */
        public Builder callers(Listener listener) {
            this.callers = listener;
            return this;
        }

        /** Sets the administration interface. */
        public Builder administration(Administration value) {
            this.administration = value;
            return this;
        }

        /** Sets the listener for other nodes. */
        public Builder link(Link value) {
            this.link = value;
            return this;
        }

        /** Sets the addresses of the platform's services. */
        public Builder platform(Platform value) {
            this.platform = value;
            return this;
        }

        /** Adds a node to ask for a first roster. */
        public Builder seed(Seed seed) {
            seeds.add(seed);
            return this;
        }

        /** Sets the scheduling policy. */
        public Builder policy(Policy value) {
            this.policy = Objects.requireNonNull(value);
            return this;
        }

        /** Sets the load limits. */
        public Builder limits(Limits value) {
            this.limits = Objects.requireNonNull(value);
            return this;
        }

        /** Sets the destination of the log. */
        public Builder log(Log value) {
            this.log = Objects.requireNonNull(value);
            return this;
        }

        /** Sets the time between the termination signal and the kill of the process. */
        public Builder shutdownGrace(Duration value) {
            this.shutdownGrace = Objects.requireNonNull(value);
            return this;
        }

        /**
         * Builds the settings.
         *
         * @throws NullPointerException naming a required part that was not set
         */
        public NodeSettings build() {
            Objects.requireNonNull(callers, "callers");
            Objects.requireNonNull(administration, "administration");
            Objects.requireNonNull(link, "link");
            Objects.requireNonNull(platform, "platform");
            return new NodeSettings(
                    node, callers, administration, link, platform, seeds, policy, limits, log, shutdownGrace);
        }
    }
}
