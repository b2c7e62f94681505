package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The options of a model engine. */
@Parameters(commandDescription = "A model engine")
public class EngineOptions extends UpstreamOptions {
    private static final int COLD_LIMIT = 2;

    @Parameter(names = "--token-millis", description = "Time in milliseconds between two tokens of a stream")
    private long tokenMillis = 5;

    @Parameter(
            names = "--first-token-millis",
            description = "Time in milliseconds until the first token of a prompt that is not cached")
    private long firstTokenMillis = 20;

    @Parameter(names = "--model", description = "Name of the model that is loaded at the start")
    private String model = "menu-7b";

    @Parameter(names = "--version-number", description = "Version of the model that is loaded at the start")
    private int versionNumber = 1;

    @Parameter(names = "--checks-fencing", description = "Refuses an order with an older fencing number")
    private boolean checksFencing;

    @Parameter(names = "--prefix-cache", description = "Number of prompt prefixes that the cache holds")
    private int prefixCache = 64;

    @Parameter(
            names = "--prefix-characters",
            description = "Number of a prompt's first characters that make up its prefix")
    private int prefixCharacters = 256;

    /** Creates the options with their defaults. */
    public EngineOptions() {
        super(COLD_LIMIT);
    }

    /** Returns the time in milliseconds between two tokens of a stream; 5 by default. */
    public long tokenMillis() {
        return tokenMillis;
    }

    /** Returns the time in milliseconds until the first token of a prompt that is not cached; 20 by default. */
    public long firstTokenMillis() {
        return firstTokenMillis;
    }

    /** Returns the name of the model that is loaded at the start; menu-7b by default. */
    public String model() {
        return model;
    }

    /** Returns the version of the model that is loaded at the start; 1 by default. */
    public int versionNumber() {
        return versionNumber;
    }

    /** Tells whether it refuses an order with an older fencing number; false by default. */
    public boolean checksFencing() {
        return checksFencing;
    }

    /** Returns the number of prompt prefixes that the cache holds; 64 by default. */
    public int prefixCache() {
        return prefixCache;
    }

    /** Returns the number of a prompt's first characters that make up its prefix; 256 by default. */
    public int prefixCharacters() {
        return prefixCharacters;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        atLeast(problems, "token-millis", tokenMillis, 1);
        atLeast(problems, "first-token-millis", firstTokenMillis, 0);
        atLeast(problems, "version-number", versionNumber, 0);
        atLeast(problems, "prefix-cache", prefixCache, 0);
        atLeast(problems, "prefix-characters", prefixCharacters, 1);
        return problems;
    }
}
