package org.wagtaillug.route;

/** The execution semantics of the requests of a route. */
public enum RouteKind {
    /** Requests are idempotent and may run more than once. */
    IDEMPOTENT,
    /** Each request may run at most once. */
    ONCE,
    /** Requests are answered with a stream of events, and may run only once unless the route is resumable. */
    STREAM
}
