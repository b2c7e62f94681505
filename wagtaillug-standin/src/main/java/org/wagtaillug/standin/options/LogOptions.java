package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** Options of the log service. */
@Parameters(commandDescription = "The log service")
public class LogOptions extends CommonOptions {
    @Parameter(names = "--retention-millis", description = "Retention time of a record in milliseconds")
    private long retentionMillis = 86_400_000;

    @Parameter(names = "--append-millis", description = "Duration of an append in milliseconds")
    private long appendMillis = 2;

    @Parameter(names = "--appends-per-second", description = "Maximum appends per second; further appends get 429")
    private int appendsPerSecond = 300;

    /** Returns the retention time of a record in milliseconds; 86_400_000 by default. */
    public long retentionMillis() {
        return retentionMillis;
    }

    /** Returns the duration of an append in milliseconds; 2 by default. */
    public long appendMillis() {
        return appendMillis;
    }

    /** Returns the maximum number of appends per second, beyond which appends get 429; 300 by default. */
    public int appendsPerSecond() {
        return appendsPerSecond;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        checkMinimum(problems, "retention-millis", retentionMillis, 1);
        checkMinimum(problems, "append-millis", appendMillis, 0);
        checkMinimum(problems, "appends-per-second", appendsPerSecond, 1);
        return problems;
    }
}
