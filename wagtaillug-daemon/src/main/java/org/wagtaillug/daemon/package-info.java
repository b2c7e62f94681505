/** The entry node's process: the frame that carries out a node's effects over real connections. */
package org.wagtaillug.daemon;
