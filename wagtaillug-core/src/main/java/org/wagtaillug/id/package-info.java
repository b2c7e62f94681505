/** Identifiers as value types, so that ids of different kinds cannot be confused. */
package org.wagtaillug.id;
