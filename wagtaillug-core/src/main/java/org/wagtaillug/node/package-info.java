/**
 * A complete node without I/O: events and the current time go in, effects come out. Any driver that executes the
 * effects and reports their results can run it, over real connections or one event at a time in a test.
 */
package org.wagtaillug.node;
