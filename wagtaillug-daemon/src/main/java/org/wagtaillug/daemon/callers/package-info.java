/** Callers: receives requests and sends complete answers or refusals. */
package org.wagtaillug.daemon.callers;
