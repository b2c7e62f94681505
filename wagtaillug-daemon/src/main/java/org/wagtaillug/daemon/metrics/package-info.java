/** What the node tells a Prometheus server about itself. */
package org.wagtaillug.daemon.metrics;
