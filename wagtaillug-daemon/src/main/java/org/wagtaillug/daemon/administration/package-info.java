/** Operators: changes and views of the node. */
package org.wagtaillug.daemon.administration;
