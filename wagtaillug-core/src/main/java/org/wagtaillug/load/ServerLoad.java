package org.wagtaillug.load;

/**
 * The load that an upstream reports in an answer.
 *
 * @param running the number of requests that it processes
 * @param waiting the number of requests in its queue
 * @param slots the number of requests that it processes concurrently
 * @param slowdown how long work takes on its VM at this moment, as a multiple of the usual time; 1 means as usual
 */
public record ServerLoad(int running, int waiting, int slots, double slowdown) {
    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException if a figure is negative, or if the slowdown is not a positive finite number
     */
    public ServerLoad {
        if (running < 0 || waiting < 0 || slots < 0 || !(slowdown > 0) || !Double.isFinite(slowdown)) {
            throw new IllegalArgumentException("load " + running + "," + waiting + "," + slots + "," + slowdown
                    + "; expected figures that are not negative and a positive slowdown");
        }
    }
}
