/** The clocks by which nodes decide, and the offset of the wall clock, by which processes compare times with each other. */
package org.wagtaillug.clock;
