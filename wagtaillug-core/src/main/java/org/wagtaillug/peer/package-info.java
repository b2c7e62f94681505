/** Which other nodes are there, by what they say to one another. Nothing that must be safe depends on it. */
package org.wagtaillug.peer;
