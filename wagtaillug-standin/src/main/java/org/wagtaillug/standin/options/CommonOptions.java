package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;

/** The options that every stand-in has. */
public class CommonOptions {
    private static final int MAXIMUM_PORT = 65_535;

    @Parameter(names = "--help", help = true, description = "Shows this help")
    @JsonIgnore
    private boolean help;

    @Parameter(names = "--port", description = "Port to listen on; 0 takes any free one")
    private int port;

    @Parameter(names = "--address", description = "IP address to listen on")
    private String address = "127.0.0.1";

    @Parameter(names = "--seed", description = "Seed of everything random")
    private long seed = 1;

    /** Tells whether only the help is wanted. */
    public boolean help() {
        return help;
    }

    /** Returns the port to listen on; 0 (the default) takes any free one. */
    public int port() {
        return port;
    }

    /** Returns the IP address to listen on; 127.0.0.1 by default. */
    public String address() {
        return address;
    }

    /** Returns the seed of everything random; 1 by default. */
    public long seed() {
        return seed;
    }

    /** Returns what is wrong with the values, a sentence each; empty when all is well. */
    public List<String> problems() {
        List<String> problems = new ArrayList<>();
        between(problems, "port", port, 0, MAXIMUM_PORT);
        return problems;
    }

    static void between(List<String> problems, String name, long found, long least, long most) {
        if (found >= least && found <= most) {
            return;
        }
        String range = most == Long.MAX_VALUE ? "of at least " + least : "from " + least + " to " + most;
        problems.add(name + ": found " + found + ", expected a number " + range + "; nearest is "
                + Math.max(least, Math.min(most, found)));
    }

    static void atLeast(List<String> problems, String name, long found, long least) {
        between(problems, name, found, least, Long.MAX_VALUE);
    }
}
