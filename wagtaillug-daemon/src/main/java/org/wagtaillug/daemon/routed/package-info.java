/** The process of a node that routes by host and path: listeners, caller exchanges and calls to upstreams. */
package org.wagtaillug.daemon.routed;
