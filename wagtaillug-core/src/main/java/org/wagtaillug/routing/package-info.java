/** Upstream selection, and the policies for retries and hedging. */
package org.wagtaillug.routing;
