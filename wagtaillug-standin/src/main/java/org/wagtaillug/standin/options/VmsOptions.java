package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** Options of the VM list. */
@Parameters(commandDescription = "The VM list")
public class VmsOptions extends CommonOptions {
    @Parameter(names = "--lag-millis", description = "Delay in milliseconds until a change becomes visible")
    private long lagMillis = 200;

    /** Returns the delay in milliseconds until a change becomes visible; 200 by default. */
    public long lagMillis() {
        return lagMillis;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        checkMinimum(problems, "lag-millis", lagMillis, 0);
        return problems;
    }
}
