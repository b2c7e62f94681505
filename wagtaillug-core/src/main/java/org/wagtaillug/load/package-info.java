/** What upstreams report of their load, and how these reports enter decisions. */
package org.wagtaillug.load;
