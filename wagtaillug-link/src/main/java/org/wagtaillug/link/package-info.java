/**
 * How nodes reach one another and how records look on the log service: protobuf messages, carried over Netty. Which
 * messages are sent, and what they mean, is decided elsewhere.
 */
package org.wagtaillug.link;
