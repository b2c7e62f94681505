/**
 * The translation between a platform's protocols and the node: caller requests, calls to upstreams and stage servers,
 * and feeds. A translation makes no decisions and keeps no state beyond its connections.
 */
package org.wagtaillug.daemon.translation;
