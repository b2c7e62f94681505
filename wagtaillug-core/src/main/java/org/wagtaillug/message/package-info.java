/** What nodes say to one another. Each message may be lost, doubled, late or out of order. */
package org.wagtaillug.message;
