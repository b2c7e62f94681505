/** Which VMs and nodes there are, which of them can be heard, and how far each has read the log. */
package org.wagtaillug.membership;
