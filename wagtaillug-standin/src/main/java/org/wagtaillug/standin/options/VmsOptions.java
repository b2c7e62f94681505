package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The options of the VM list. */
@Parameters(commandDescription = "The VM list")
public class VmsOptions extends CommonOptions {
    @Parameter(names = "--lag-millis", description = "Time in milliseconds until a change shows")
    private long lagMillis = 200;

    /** Returns the time in milliseconds until a change shows; 200 by default. */
    public long lagMillis() {
        return lagMillis;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        atLeast(problems, "lag-millis", lagMillis, 0);
        return problems;
    }
}
