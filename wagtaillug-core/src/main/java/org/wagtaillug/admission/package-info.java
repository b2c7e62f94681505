/** Admission control: limits on requests in flight, by the node's capacity and the customers' shares, and warm-up limits. */
package org.wagtaillug.admission;
