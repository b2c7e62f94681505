/** Ids as value types, so that a request's id is never taken for an attempt's. */
package org.wagtaillug.id;
