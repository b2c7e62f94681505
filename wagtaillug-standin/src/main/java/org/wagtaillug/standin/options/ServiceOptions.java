package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** Options of a plain service. */
@Parameters(commandDescription = "A plain service")
public class ServiceOptions extends UpstreamOptions {
    private static final int NO_COLD_LIMIT = 0;

    @Parameter(names = "--work-millis", description = "Mean processing time of a request in milliseconds")
    private long workMillis = 10;

    @Parameter(names = "--checks-keys", description = "Executes each idempotency key once and repeats the first answer")
    private boolean checksKeys;

    /** Creates options with default values. */
    public ServiceOptions() {
        super(NO_COLD_LIMIT);
    }

    /** Returns the mean processing time of a request in milliseconds; 10 by default. */
    public long workMillis() {
        return workMillis;
    }

    /** Returns whether each idempotency key is executed once and its first answer repeated; false by default. */
    public boolean checksKeys() {
        return checksKeys;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        checkMinimum(problems, "work-millis", workMillis, 0);
        return problems;
    }
}
