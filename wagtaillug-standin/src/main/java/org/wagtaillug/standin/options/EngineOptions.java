package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** Options of a model engine. */
@Parameters(commandDescription = "A model engine")
public class EngineOptions extends UpstreamOptions {
    private static final int COLD_LIMIT = 2;

    @Parameter(names = "--token-millis", description = "Interval in milliseconds between two tokens of a stream")
    private long tokenMillis = 5;

    @Parameter(
            names = "--first-token-millis",
            description = "Time in milliseconds until the first token of a prompt that is not cached")
    private long firstTokenMillis = 20;

    @Parameter(names = "--model", description = "Name of the model loaded at startup")
    private String model = "menu-7b";

    @Parameter(names = "--version-number", description = "Version of the model loaded at startup")
    private int versionNumber = 1;

    @Parameter(names = "--checks-fencing", description = "Rejects orders with an older fencing number")
    private boolean checksFencing;

    @Parameter(names = "--prefix-cache", description = "Maximum number of cached prompt prefixes")
    private int prefixCache = 64;

    @Parameter(
            names = "--prefix-characters",
            description = "Number of leading characters of a prompt that form its prefix")
    private int prefixCharacters = 256;

    /** Creates options with default values. */
    public EngineOptions() {
        super(COLD_LIMIT);
    }

    /** Returns the interval in milliseconds between two tokens of a stream; 5 by default. */
    public long tokenMillis() {
        return tokenMillis;
    }

    /** Returns the time in milliseconds until the first token of a prompt that is not cached; 20 by default. */
    public long firstTokenMillis() {
        return firstTokenMillis;
    }

    /** Returns the name of the model loaded at startup; menu-7b by default. */
    public String model() {
        return model;
    }

    /** Returns the version of the model loaded at startup; 1 by default. */
    public int versionNumber() {
        return versionNumber;
    }

    /** Returns whether orders with an older fencing number are rejected; false by default. */
    public boolean checksFencing() {
        return checksFencing;
    }

    /** Returns the maximum number of cached prompt prefixes; 64 by default. */
    public int prefixCache() {
        return prefixCache;
    }

    /** Returns the number of leading characters of a prompt that form its prefix; 256 by default. */
    public int prefixCharacters() {
        return prefixCharacters;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        checkMinimum(problems, "token-millis", tokenMillis, 1);
        checkMinimum(problems, "first-token-millis", firstTokenMillis, 0);
        checkMinimum(problems, "version-number", versionNumber, 0);
        checkMinimum(problems, "prefix-cache", prefixCache, 0);
        checkMinimum(problems, "prefix-characters", prefixCharacters, 1);
        return problems;
    }
}
