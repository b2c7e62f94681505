/**
 * Infrastructure common to all stand-ins: the HTTP server with one port per stand-in, the {@link
 * org.wagtaillug.standin.http.Exchange} of a request and its answer, timers, and the faults injected by {@code POST
 * /faults}.
 */
package org.wagtaillug.standin.http;
