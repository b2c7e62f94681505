/**
 * Batch scheduling for stage pools: one node collects the orders of all nodes for a pool and sends batched calls to its servers.
 *
 * <pre>{@code
 * BatchScheduler scheduler = new BatchScheduler(directory, output, features);
 * scheduler.onOrder(order, contract, now); // calls and outcomes go to output
 * }</pre>
 */
package org.wagtaillug.batch;
