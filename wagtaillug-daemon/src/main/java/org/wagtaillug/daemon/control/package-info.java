/** The one thread that owns all control state, and the clock that it decides by. */
package org.wagtaillug.daemon.control;
