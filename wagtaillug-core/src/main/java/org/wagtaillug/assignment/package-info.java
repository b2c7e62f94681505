/** The choice of the engines of a pool for the requests of all nodes. */
package org.wagtaillug.assignment;
