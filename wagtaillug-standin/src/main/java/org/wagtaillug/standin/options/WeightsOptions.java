package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The options of the weight store. */
@Parameters(commandDescription = "The weight store")
public class WeightsOptions extends CommonOptions {
    @Parameter(names = "--bytes-per-second", description = "Rate in bytes a second that all transfers share")
    private long bytesPerSecond = 8_388_608;

    @Parameter(names = "--size-bytes", description = "Size in bytes of the weights of one model")
    private long sizeBytes = 16_777_216;

    /** Returns the rate in bytes a second that all transfers share; 8_388_608 by default. */
    public long bytesPerSecond() {
        return bytesPerSecond;
    }

    /** Returns the size in bytes of the weights of one model; 16_777_216 by default. */
    public long sizeBytes() {
        return sizeBytes;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        atLeast(problems, "bytes-per-second", bytesPerSecond, 1);
        atLeast(problems, "size-bytes", sizeBytes, 1);
        return problems;
    }
}
