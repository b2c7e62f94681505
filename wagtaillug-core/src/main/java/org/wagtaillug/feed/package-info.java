/**
 * Feeds: what operators and upstreams write on the platform's store, of which the newest record of each key holds. A node
 * reads them itself, and learns from its peers what the store does not tell it.
 */
package org.wagtaillug.feed;
