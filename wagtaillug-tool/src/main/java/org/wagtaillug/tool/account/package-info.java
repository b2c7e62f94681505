/**
 * Aggregates the decision lines of nodes' logs into statistics on where requests spent their time.
 *
 * <pre>{@code
 * RequestStatistics statistics = new RequestStatistics();
 * LogFileReader reader = new LogFileReader(statistics);
 * reader.read(Path.of("node-1.log"));
 * ObjectNode report = StatisticsReport.of(statistics, reader);
 * }</pre>
 */
package org.wagtaillug.tool.account;
