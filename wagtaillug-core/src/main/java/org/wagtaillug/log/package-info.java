/**
 * The records that nodes write to the platform's log service. The order of records on the log is the only agreement
 * protocol between nodes: any state that must be the same at every node is derived by applying the records of a stream
 * in order.
 */
package org.wagtaillug.log;
