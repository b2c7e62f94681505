/**
 * The records that nodes keep on the platform's log service. The log's order of records is the only agreement between
 * nodes: whatever must be the same everywhere is a fold over one of its streams.
 */
package org.wagtaillug.log;
