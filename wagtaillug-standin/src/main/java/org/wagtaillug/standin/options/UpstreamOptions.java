package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import java.util.List;

/** Options common to all upstreams. */
public abstract class UpstreamOptions extends CommonOptions {
    @Parameter(names = "--slots", description = "Number of requests processed concurrently")
    private int slots = 8;

    @Parameter(names = "--queue", description = "Maximum number of queued requests; further requests get 429")
    private int queue = 64;

    @Parameter(names = "--cold-limit", description = "Maximum number of concurrent requests while cold; 0 for no limit")
    private int coldLimit;

    @Parameter(names = "--warm-after", description = "Number of completed requests after which it is warm")
    private int warmAfter = 4;

    @Parameter(names = "--load-lag-millis", description = "Delay of the load report in milliseconds")
    private long loadLagMillis = 300;

    @Parameter(names = "--restart-millis", description = "Duration of a restart in milliseconds")
    private long restartMillis = 500;

    /** Sets the default cold limit of this kind of upstream. */
    UpstreamOptions(int coldLimit) {
        this.coldLimit = coldLimit;
    }

    /** Returns the number of requests processed concurrently; 8 by default. */
    public int slots() {
        return slots;
    }

    /** Returns the maximum number of queued requests, beyond which requests get 429; 64 by default. */
    public int queue() {
        return queue;
    }

    /** Returns the maximum number of concurrent requests while cold, 0 for no limit; 2 by default, 0 for plain services. */
    public int coldLimit() {
        return coldLimit;
    }

    /** Returns the number of completed requests after which it is warm; 4 by default. */
    public int warmAfter() {
        return warmAfter;
    }

    /** Returns the delay of the load report in milliseconds; 300 by default. */
    public long loadLagMillis() {
        return loadLagMillis;
    }

    /** Returns the duration of a restart in milliseconds; 500 by default. */
    public long restartMillis() {
        return restartMillis;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        checkMinimum(problems, "slots", slots, 1);
        checkMinimum(problems, "queue", queue, 0);
        checkMinimum(problems, "cold-limit", coldLimit, 0);
        checkMinimum(problems, "warm-after", warmAfter, 0);
        checkMinimum(problems, "load-lag-millis", loadLagMillis, 1);
        checkMinimum(problems, "restart-millis", restartMillis, 0);
        return problems;
    }
}
