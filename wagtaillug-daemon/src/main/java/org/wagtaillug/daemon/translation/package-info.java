/**
 * What a platform's translation provides: callers' requests, calls to upstreams and stage servers, and feeds, in the words
 * of that platform. A translation decides nothing and keeps nothing beyond its connections.
 */
package org.wagtaillug.daemon.translation;
