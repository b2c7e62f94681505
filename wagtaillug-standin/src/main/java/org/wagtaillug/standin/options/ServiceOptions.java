package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The options of a plain service. */
@Parameters(commandDescription = "A plain service")
public class ServiceOptions extends UpstreamOptions {
    private static final int NO_COLD_LIMIT = 0;

    @Parameter(names = "--work-millis", description = "Mean time in milliseconds that one request takes")
    private long workMillis = 10;

    @Parameter(names = "--checks-keys", description = "Executes an idempotency key once and repeats its first answer")
    private boolean checksKeys;

    /** Creates the options with their defaults. */
    public ServiceOptions() {
        super(NO_COLD_LIMIT);
    }

    /** Returns the mean time in milliseconds that one request takes; 10 by default. */
    public long workMillis() {
        return workMillis;
    }

    /** Tells whether it executes an idempotency key once and repeats its first answer; false by default. */
    public boolean checksKeys() {
        return checksKeys;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        atLeast(problems, "work-millis", workMillis, 0);
        return problems;
    }
}
