package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The options of the log service. */
@Parameters(commandDescription = "The log service")
public class LogOptions extends CommonOptions {
    @Parameter(names = "--retention-millis", description = "Age in milliseconds from which a record is dropped")
    private long retentionMillis = 86_400_000;

    @Parameter(names = "--append-millis", description = "Time in milliseconds that an append takes")
    private long appendMillis = 2;

    @Parameter(names = "--appends-per-second", description = "Number of appends a second; more get 429")
    private int appendsPerSecond = 300;

    /** Returns the age in milliseconds from which a record is dropped; 86_400_000 by default. */
    public long retentionMillis() {
        return retentionMillis;
    }

    /** Returns the time in milliseconds that an append takes; 2 by default. */
    public long appendMillis() {
        return appendMillis;
    }

    /** Returns the number of appends a second; more get 429; 300 by default. */
    public int appendsPerSecond() {
        return appendsPerSecond;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        atLeast(problems, "retention-millis", retentionMillis, 1);
        atLeast(problems, "append-millis", appendMillis, 0);
        atLeast(problems, "appends-per-second", appendsPerSecond, 1);
        return problems;
    }
}
