/** Graceful shutdown of a node, without interrupting requests. */
package org.wagtaillug.drain;
