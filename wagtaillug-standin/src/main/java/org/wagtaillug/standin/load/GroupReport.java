package org.wagtaillug.standin.load;

import java.util.Map;

/**
 * What came of one group's requests.
 *
 * @param offered how many were sent, or could not be sent because no node was ready
 * @param served how many were answered whole and in time
 * @param late how many were answered whole after the deadline
 * @param lost how many got no answer, or one that cannot be used
 * @param refused how many were refused
 * @param attainment served of offered
 * @param worthOffered what all would have been worth in time
 * @param worthServed what those served in time were worth
 * @param refusedByCode refused by result code
 * @param refusedByRun refused by whether the refusal says that it has run: {@code run}, {@code not-run}, {@code unknown}
 * @param lostByReason lost by reason
 * @param wholeMillis from the time to send to the answer's end, of those served and late
 * @param firstTokenMillis from the time to send to the first token, of streamed answers
 * @param betweenTokensMillis between two tokens of a stream
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
