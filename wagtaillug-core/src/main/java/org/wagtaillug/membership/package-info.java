/** The VMs and nodes of the platform, the liveness of the nodes, and how far each has read the control stream. */
package org.wagtaillug.membership;
