/** Ending a node without cutting a request. */
package org.wagtaillug.drain;
