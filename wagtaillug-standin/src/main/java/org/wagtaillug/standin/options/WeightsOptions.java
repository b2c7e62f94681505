package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** Options of the weight store. */
@Parameters(commandDescription = "The weight store")
public class WeightsOptions extends CommonOptions {
    @Parameter(names = "--bytes-per-second", description = "Bandwidth in bytes per second shared by all transfers")
    private long bytesPerSecond = 8_388_608;

    @Parameter(names = "--size-bytes", description = "Size in bytes of the weights of a model")
    private long sizeBytes = 16_777_216;

    /** Returns the bandwidth in bytes per second shared by all transfers; 8_388_608 by default. */
    public long bytesPerSecond() {
        return bytesPerSecond;
    }

    /** Returns the size in bytes of the weights of a model; 16_777_216 by default. */
    public long sizeBytes() {
        return sizeBytes;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        checkMinimum(problems, "bytes-per-second", bytesPerSecond, 1);
        checkMinimum(problems, "size-bytes", sizeBytes, 1);
        return problems;
    }
}
