package org.wagtaillug.tool;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/** A command with its arguments as given on the command line. */
sealed interface Command {
    /** The command's name on the command line. */
    String name();

    /** A command that does not contact any node. */
    sealed interface Offline extends Command {}

    /** A command that contacts nodes. */
    sealed interface Online extends Command {}

    /** Options of the commands that change the configuration. */
    @Parameters(separators = "=")
    final class ChangeOptions {
        @Parameter(
                names = "--base",
                description = "The version that the change is based on. Default: the version in force")
        private Long base;

        @Parameter(names = "--wait", description = "Wait until the change is in force on every live node")
        private boolean waits;

        @Parameter(
                names = "--timeout",
                description = "The maximum wait for the outcome of each change, and for it to be in force")
        private String timeout = "5s";

        Long base() {
            return base;
        }

        boolean waits() {
            return waits;
        }

        String timeout() {
            return timeout;
        }
    }

    /** Publishes the contracts in files. */
    @Parameters(commandDescription = "Publishes templates, customers, pools and placements", separators = "=")
    final class Publish implements Online {
        @Parameter(description = "FILE...")
        private List<String> files = new ArrayList<>();

        @ParametersDelegate
        private ChangeOptions change = new ChangeOptions();

        @Override
        public String name() {
            return "publish";
        }

        List<String> files() {
            return files;
        }

        ChangeOptions change() {
            return change;
        }
    }

    /** Checks files without contacting a node. */
    @Parameters(
            commandDescription = "Checks files of contracts or node settings, without contacting a node",
            separators = "=")
    final class Validate implements Offline {
        @Parameter(description = "FILE...")
        private List<String> files = new ArrayList<>();

        @Override
        public String name() {
            return "validate";
        }

        List<String> files() {
            return files;
        }
    }

    /** Compares files with the configuration in force. */
    @Parameters(commandDescription = "Shows what publishing the files would change", separators = "=")
    final class Diff implements Online {
        @Parameter(description = "FILE...")
        private List<String> files = new ArrayList<>();

        @Override
        public String name() {
            return "diff";
        }

        List<String> files() {
            return files;
        }
    }

    /** Shows the configuration in force. */
    @Parameters(commandDescription = "Shows the configuration in force, or one key of it", separators = "=")
    final class Show implements Online {
        @Parameter(description = "[KEY]")
        private List<String> keys = new ArrayList<>();

        @Override
        public String name() {
            return "show";
        }

        List<String> keys() {
            return keys;
        }
    }

    /** Removes a key from the configuration. */
    @Parameters(commandDescription = "Removes a key from the configuration", separators = "=")
    final class Remove implements Online {
        @Parameter(description = "KEY")
        private List<String> keys = new ArrayList<>();

        @ParametersDelegate
        private ChangeOptions change = new ChangeOptions();

        @Override
        public String name() {
            return "remove";
        }

        List<String> keys() {
            return keys;
        }

        ChangeOptions change() {
            return change;
        }
    }

    /** Takes a failure domain out of service or brings it back. */
    @Parameters(commandDescription = "Takes a failure domain out of service or brings it back", separators = "=")
    final class Domain implements Online {
        @Parameter(description = "out|back DOMAIN")
        private List<String> arguments = new ArrayList<>();

        @Parameter(names = "--unlisted", description = "Accept a name that no node reports")
        private boolean unlisted;

        @ParametersDelegate
        private ChangeOptions change = new ChangeOptions();

        @Override
        public String name() {
            return "domain";
        }

        boolean unlisted() {
            return unlisted;
        }

        List<String> arguments() {
            return arguments;
        }

        ChangeOptions change() {
            return change;
        }
    }

    /** Takes a VM out of service or brings it back. */
    @Parameters(commandDescription = "Takes a VM out of service or brings it back", separators = "=")
    final class Vm implements Online {
        @Parameter(description = "out|back VM")
        private List<String> arguments = new ArrayList<>();

        @Parameter(names = "--unlisted", description = "Accept a name that no node reports")
        private boolean unlisted;

        @ParametersDelegate
        private ChangeOptions change = new ChangeOptions();

        @Override
        public String name() {
            return "vm";
        }

        boolean unlisted() {
            return unlisted;
        }

        List<String> arguments() {
            return arguments;
        }

        ChangeOptions change() {
            return change;
        }
    }

    /** Shows the nodes. */
    @Parameters(
            commandDescription = "Shows the nodes and the configuration offset that each has read",
            separators = "=")
    final class Nodes implements Online {
        @Override
        public String name() {
            return "nodes";
        }
    }

    /** Shows the upstreams. */
    @Parameters(commandDescription = "Shows the upstreams with their load and owners", separators = "=")
    final class Upstreams implements Online {
        @Override
        public String name() {
            return "upstreams";
        }
    }

    /** Shows which node owns which upstream. */
    @Parameters(commandDescription = "Shows which node owns which upstream", separators = "=")
    final class Ownership implements Online {
        @Override
        public String name() {
            return "ownership";
        }
    }

    /** Shows the requests in flight. */
    @Parameters(commandDescription = "Shows the requests in flight at the nodes", separators = "=")
    final class Requests implements Online {
        @Override
        public String name() {
            return "requests";
        }
    }

    /** Shows the decisions about one request. */
    @Parameters(commandDescription = "Shows the nodes' decisions about a request and their reasons", separators = "=")
    final class Why implements Online {
        @Parameter(description = "REQUEST")
        private List<String> requests = new ArrayList<>();

        @Override
        public String name() {
            return "why";
        }

        List<String> requests() {
            return requests;
        }
    }

    /** Compares the configurations of the nodes. */
    @Parameters(commandDescription = "Shows the digest of the configuration of every --node", separators = "=")
    final class Config implements Online {
        @Parameter(description = "digest")
        private List<String> arguments = new ArrayList<>();

        @Override
        public String name() {
            return "config";
        }

        List<String> arguments() {
            return arguments;
        }
    }

    /** Summarizes the log files of nodes. */
    @Parameters(
            commandDescription =
                    "Shows from the nodes' log files where requests spent their time, without contacting a node",
            separators = "=")
    final class Account implements Offline {
        @Parameter(description = "FILE...")
        private List<String> files = new ArrayList<>();

        @Override
        public String name() {
            return "account";
        }

        List<String> files() {
            return files;
        }
    }

    /** Prints a shell completion script. */
    @Parameters(commandDescription = "Prints a shell completion script for commands and long options", separators = "=")
    final class Completion implements Offline {
        @Parameter(description = "bash")
        private List<String> shells = new ArrayList<>();

        @Override
        public String name() {
            return "completion";
        }

        List<String> shells() {
            return shells;
        }
    }
}
