/** The frame around a node that routes by host and path: listeners, callers' exchanges, calls to upstreams. */
package org.wagtaillug.daemon.routed;
