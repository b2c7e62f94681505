/**
 * Failures tested with real processes: stand-ins of the platform and nodes, each in its own JVM, connected over
 * loopback.
 */
package org.wagtaillug.daemon.process;
