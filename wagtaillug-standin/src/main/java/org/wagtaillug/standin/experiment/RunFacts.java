package org.wagtaillug.standin.experiment;

import java.util.List;

/**
 * What is fixed about a run before it begins.
 *
 * @param scenario the scenarios' names with + between them
 * @param firm whose layout and load it is
 * @param policy how the nodes decide
 * @param seed the seed of the load
 * @param rate requests a second
 * @param capacity the requests a second that the engines bear
 * @param warmUpMillis for how long requests are sent before they count
 * @param domain the failure domain that the scenarios take out
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
     * One upstream.
     *
     * @param coldLimit how many requests it bears at once while cold; 0 for any number
     * @param leaves whether the scenarios mark it as leaving
     */
    record UpstreamFacts(String name, String pool, String domain, int coldLimit, boolean leaves) {}
}
