/** How a request ended: numbered codes, and what is known of whether it ran. */
package org.wagtaillug.result;
