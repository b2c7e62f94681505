/**
 * Feeds: the records that operators, upstreams and nodes write to the platform's store. The latest record of each key
 * is valid. A node reads the feeds itself, and gets from its peers what it cannot read from the store.
 */
package org.wagtaillug.feed;
