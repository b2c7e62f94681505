package org.wagtaillug.standin.experiment;

import java.util.List;

/**
 * The parameters of a run, fixed before it starts.
 *
 * @param scenario the names of the scenarios, separated by +
 * @param firm the firm whose layout and load are used
 * @param policy the policy of the nodes
 * @param seed the seed of the load
 * @param rate requests per second
 * @param capacity the capacity of the engines in requests per second
 * @param warmUpMillis the initial period whose requests are not counted
 * @param domain the failure domain that the scenarios take out of service
 * @param upstreams all upstreams
 */
record RunFacts(
        String scenario,
        String firm,
        String policy,
        long seed,
        double rate,
        double capacity,
        long warmUpMillis,
        String domain,
        List<UpstreamFacts> upstreams) {
    static final String FILE = "plan.json";

    /**
     * The parameters of an upstream.
     *
     * @param coldLimit the maximum number of concurrent requests while cold; 0 for no limit
     * @param leaves whether a scenario marks it as leaving
     */
    record UpstreamFacts(String name, String pool, String domain, int coldLimit, boolean leaves) {}
}
