/** The metrics of a node for Prometheus. */
package org.wagtaillug.daemon.metrics;
