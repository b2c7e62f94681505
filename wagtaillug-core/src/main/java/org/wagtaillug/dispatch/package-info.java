/** The way of one request through its stages: attempts, retries, hedges, streams and the one answer. */
package org.wagtaillug.dispatch;
