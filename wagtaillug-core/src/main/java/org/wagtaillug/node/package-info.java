/**
 * A whole node without its sockets: events and the present time go in, effects come out. Any frame that carries out the
 * effects and reports what came of them can drive it, over real connections or one event at a time.
 */
package org.wagtaillug.node;
