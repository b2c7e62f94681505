/**
 * What all stand-ins share: the HTTP server with one port a stand-in, the {@link org.wagtaillug.standin.http.Exchange}
 * of one request and its answer, timers, and the faults that are switched over {@code POST /faults}.
 */
package org.wagtaillug.standin.http;
