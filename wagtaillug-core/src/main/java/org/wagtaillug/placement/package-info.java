/** Which engine serves which model, and the orders that bring the engines there. */
package org.wagtaillug.placement;
