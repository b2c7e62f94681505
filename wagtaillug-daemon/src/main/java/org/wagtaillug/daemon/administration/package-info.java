/** The operators' side: changes, and what they ask to see. */
package org.wagtaillug.daemon.administration;
