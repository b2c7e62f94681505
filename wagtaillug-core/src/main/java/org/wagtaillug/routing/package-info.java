/** Which upstream gets the next attempt, and how many attempts beyond the first there may be. */
package org.wagtaillug.routing;
