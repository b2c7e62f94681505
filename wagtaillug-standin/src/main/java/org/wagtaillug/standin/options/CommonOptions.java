package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;

/** Options common to all stand-ins. */
public class CommonOptions {
    private static final int MAX_PORT = 65_535;

    @Parameter(names = "--help", help = true, description = "Shows this help")
    @JsonIgnore
    private boolean help;

    @Parameter(names = "--port", description = "Port to listen on; 0 selects a free port")
    private int port;

    @Parameter(names = "--address", description = "IP address to listen on")
    private String address = "127.0.0.1";

    @Parameter(names = "--seed", description = "Seed of the random number generators")
    private long seed = 1;

    /** Returns whether help was requested. */
    public boolean help() {
        return help;
    }

    /** Returns the port to listen on; 0 (the default) selects a free port. */
    public int port() {
        return port;
    }

    /** Returns the IP address to listen on; 127.0.0.1 by default. */
    public String address() {
        return address;
    }

    /** Returns the seed of the random number generators; 1 by default. */
    public long seed() {
        return seed;
    }

    /** Returns one message for each invalid value; empty if all values are valid. */
    public List<String> problems() {
        List<String> problems = new ArrayList<>();
        checkRange(problems, "port", port, 0, MAX_PORT);
        return problems;
    }

    static void checkRange(List<String> problems, String name, long found, long minimum, long maximum) {
        if (found >= minimum && found <= maximum) {
            return;
        }
        String range = maximum == Long.MAX_VALUE ? "of at least " + minimum : "from " + minimum + " to " + maximum;
        problems.add(name + ": found " + found + ", expected a number " + range + "; nearest is "
                + Math.max(minimum, Math.min(maximum, found)));
    }

    static void checkMinimum(List<String> problems, String name, long found, long minimum) {
        checkRange(problems, name, found, minimum, Long.MAX_VALUE);
    }
}
