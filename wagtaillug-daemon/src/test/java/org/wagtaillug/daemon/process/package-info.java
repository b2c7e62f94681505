/** Failures met with real processes: stand-ins of the platform and nodes, each a JVM of its own on loopback. */
package org.wagtaillug.daemon.process;
