package org.wagtaillug.standin.load;

import java.util.Map;

/**
 * The outcomes of one group of requests.
 *
 * @param offered the number of requests, including those not sent because no node was ready
 * @param served the number of complete answers before the deadline
 * @param late the number of complete answers after the deadline
 * @param lost the number of requests without a usable answer
 * @param refused the number of refused requests
 * @param attainment the ratio of served to offered requests
 * @param worthOffered the total worth of all requests
 * @param worthServed the total worth of the served requests
 * @param refusedByCode refused requests by result code
 * @param refusedByRun refused requests by run state in the refusal: {@code run}, {@code not-run}, {@code unknown}
 * @param lostByReason lost requests by reason
 * @param wholeMillis the time from the scheduled send time to the end of the answer, for served and late requests
 * @param firstTokenMillis the time from the scheduled send time to the first token, for streamed answers
 * @param betweenTokensMillis the interval between two tokens of a stream
 */
public record GroupReport(
        long offered,
        long served,
        long late,
        long lost,
        long refused,
        double attainment,
        double worthOffered,
        double worthServed,
        Map<String, Long> refusedByCode,
        Map<String, Long> refusedByRun,
        Map<String, Long> lostByReason,
        Percentiles wholeMillis,
        Percentiles firstTokenMillis,
        Percentiles betweenTokensMillis) {}
