/** How many attempts beyond the first a node may make, so that a failing pool is not buried under retries. */
package org.wagtaillug.retry;
