package org.wagtaillug.result;

/**
 * The numbered result codes; docs/RESULT-CODES.md has the table. Numbers are never used again for something else.
 *
 * <p>1xx the caller's fault, 2xx limits, 3xx upstreams, 4xx idempotency, 5xx the node or the platform.
 */
public enum ResultCode {
    /** Served whole and in time. */
    SERVED(0, 200),
    /** A change was accepted. */
    ACCEPTED(1, 200),
    /** The body is not what the interface says. */
    MALFORMED(100, 400),
    /** The body is longer than allowed. */
    TOO_LARGE(101, 413),
    /** No template of this name is in force. */
    UNKNOWN_TEMPLATE(102, 404),
    /** No customer of this name is in force. */
    UNKNOWN_CUSTOMER(103, 404),
    /** The deadline had passed on arrival. */
    DEADLINE_PASSED(104, 400),
    /** A non-idempotent request came without an idempotency key. */
    KEY_MISSING(105, 400),
    /** The sender was too slow or broke off in the middle of the body. */
    BODY_CUT(106, 408),
    /** No valid token, or its role does not allow the call. */
    FORBIDDEN(107, 403),
    /** A request with this id is in flight on the node. */
    REQUEST_IN_FLIGHT(108, 409),
    /** The administration interface knows nothing of this path, key or request. */
    NOT_FOUND(109, 404),
    /** No route of the host and path is in force. */
    UNKNOWN_ROUTE(110, 404),
    /** No configuration in force has the caller's key. */
    KEY_REJECTED(111, 401),
    /** The rest of the deadline is shorter than the work still takes. */
    DEADLINE_CANNOT_BE_MET(200, 503),
    /** The node has as many requests as it bears, and others are worth more. */
    OVERLOADED(201, 503),
    /** The customer uses more than its share while others wait. */
    CUSTOMER_OVER_SHARE(202, 429),
    /** The retry budget is spent. */
    RETRY_BUDGET_SPENT(203, 503),
    /** What waits for the pool of a step takes longer than the request has. */
    STEP_OVERLOADED(204, 503),
    /** No upstream of the pool may take new work. */
    NO_UPSTREAM(300, 503),
    /** Every attempt failed. */
    ATTEMPTS_FAILED(301, 502),
    /** The deadline passed while a stage ran. */
    DEADLINE_EXCEEDED(302, 504),
    /** The upstream refused the request as wrong. */
    UPSTREAM_REJECTED(303, 422),
    /** A step before the request could not be done; the request itself has not run. */
    STEP_FAILED(304, 503),
    /** The upstreams that were asked are full; none has run the request. */
    UPSTREAM_FULL(305, 503),
    /** The outcome of the call that must happen once is not known. */
    OUTCOME_UNKNOWN(400, 502),
    /** The key is older than what the log still holds. */
    KEY_TOO_OLD(401, 410),
    /** The key was used for another body. */
    KEY_REUSED(402, 422),
    /** The same key is being worked on now. */
    KEY_IN_PROGRESS(403, 409),
    /** The log service is needed and not reachable. */
    LOG_UNAVAILABLE(500, 503),
    /** The node is shutting down. */
    SHUTTING_DOWN(501, 503),
    /** The node is cut off and cannot learn of changes. */
    NODE_CUT_OFF(502, 503),
    /** The change was made from a version that is no longer the newest. */
    CHANGE_CROSSED(503, 409),
    /** The node does not hold the whole configuration yet. */
    NOT_READY(504, 503),
    /** A fault of the node itself. */
    INTERNAL(599, 500);

    private final int number;
    private final int status;

    ResultCode(int number, int status) {
        this.number = number;
        this.status = status;
    }

    /** The number that the caller sees. */
    public int number() {
        return number;
    }

    /** The HTTP status that goes with it. */
    public int status() {
        return status;
    }
}
