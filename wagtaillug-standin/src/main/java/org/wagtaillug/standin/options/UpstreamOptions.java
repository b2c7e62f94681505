package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import java.util.List;

/** The options that every upstream has. */
public abstract class UpstreamOptions extends CommonOptions {
    @Parameter(names = "--slots", description = "Number of requests that it works on at once")
    private int slots = 8;

    @Parameter(names = "--queue", description = "Number of requests that may wait for a slot; more get 429")
    private int queue = 64;

    @Parameter(
            names = "--cold-limit",
            description = "Number of requests that it bears at once while cold; 0 for no limit")
    private int coldLimit;

    @Parameter(names = "--warm-after", description = "Number of requests that it has to finish to be warm")
    private int warmAfter = 4;

    @Parameter(names = "--load-lag-millis", description = "Time in milliseconds by which the load report lags")
    private long loadLagMillis = 300;

    @Parameter(names = "--restart-millis", description = "Time in milliseconds that a restart takes")
    private long restartMillis = 500;

    /** Gives this kind of upstream its own default of the cold limit. */
    UpstreamOptions(int coldLimit) {
        this.coldLimit = coldLimit;
    }

    /** Returns the number of requests that it works on at once; 8 by default. */
    public int slots() {
        return slots;
    }

    /** Returns the number of requests that may wait for a slot; more get 429; 64 by default. */
    public int queue() {
        return queue;
    }

    /** Returns the number of requests that it bears at once while cold; 0 for no limit; 2 by default, 0 for plain services. */
    public int coldLimit() {
        return coldLimit;
    }

    /** Returns the number of requests that it has to finish to be warm; 4 by default. */
    public int warmAfter() {
        return warmAfter;
    }

    /** Returns the time in milliseconds by which the load report lags; 300 by default. */
    public long loadLagMillis() {
        return loadLagMillis;
    }

    /** Returns the time in milliseconds that a restart takes; 500 by default. */
    public long restartMillis() {
        return restartMillis;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        atLeast(problems, "slots", slots, 1);
        atLeast(problems, "queue", queue, 0);
        atLeast(problems, "cold-limit", coldLimit, 0);
        atLeast(problems, "warm-after", warmAfter, 0);
        atLeast(problems, "load-lag-millis", loadLagMillis, 1);
        atLeast(problems, "restart-millis", restartMillis, 0);
        return problems;
    }
}
