/** The platform: the log service, the VM list, load reports and orders. */
package org.wagtaillug.daemon.platform;
