/** The callers' side: requests in, whole answers or refusals out. */
package org.wagtaillug.daemon.callers;
