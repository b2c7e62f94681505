/** The platform's side: the log service, the list of VMs, load reports and orders. */
package org.wagtaillug.daemon.platform;
