/**
 * The transport between nodes and the encoding of log records: protobuf messages, sent over Netty. Which messages are
 * sent, and what they mean, is decided elsewhere.
 */
package org.wagtaillug.link;
