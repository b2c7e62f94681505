/** The single thread that owns all control state, and its clock. */
package org.wagtaillug.daemon.control;
