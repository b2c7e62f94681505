package org.wagtaillug.route;

/** What may be repeated of the requests of a route. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once for each request. */
    ONCE,
    /** Answers with a series of events; may run once only, unless the route says that it may be resumed. */
    STREAM
}
