package org.wagtaillug.result;

/**
 * The numbered result codes, documented in docs/RESULT-CODES.md. Numbers are never reused with another meaning.
 *
 * <p>1xx errors of the caller, 2xx limits, 3xx upstreams, 4xx idempotency, 5xx the node or the platform.
 */
public enum ResultCode {
    /** Served completely and in time. */
    SERVED(0, 200),
    /** A change was accepted. */
    ACCEPTED(1, 200),
    /** The body does not conform to the interface. */
    MALFORMED(100, 400),
    /** The body is longer than allowed. */
    TOO_LARGE(101, 413),
    /** No template of this name is active. */
    UNKNOWN_TEMPLATE(102, 404),
    /** No customer of this name is active. */
    UNKNOWN_CUSTOMER(103, 404),
    /** The deadline had passed on arrival. */
    DEADLINE_PASSED(104, 400),
    /** A non-idempotent request came without an idempotency key. */
    KEY_MISSING(105, 400),
    /** The sender was too slow, or disconnected before the body was complete. */
    BODY_CUT(106, 408),
    /** The token is missing or invalid, or its role does not permit the call. */
    FORBIDDEN(107, 403),
    /** A request with this id is in flight on the node. */
    REQUEST_IN_FLIGHT(108, 409),
    /** The administration interface does not know this path, key or request. */
    NOT_FOUND(109, 404),
    /** No active route matches the host and path. */
    UNKNOWN_ROUTE(110, 404),
    /** The active configuration does not contain the caller's key. */
    KEY_REJECTED(111, 401),
    /** The remaining time is shorter than the expected processing time. */
    DEADLINE_CANNOT_BE_MET(200, 503),
    /** The node is at its request limit, and the other requests have a higher worth. */
    OVERLOADED(201, 503),
    /** The customer exceeds its share while others wait. */
    CUSTOMER_OVER_SHARE(202, 429),
    /** The retry budget is spent. */
    RETRY_BUDGET_SPENT(203, 503),
    /** The queue of the pool of a step takes longer than the remaining time of the request. */
    STEP_OVERLOADED(204, 503),
    /** No upstream of the pool accepts new requests. */
    NO_UPSTREAM(300, 503),
    /** Every attempt failed. */
    ATTEMPTS_FAILED(301, 502),
    /** The deadline passed while a stage ran. */
    DEADLINE_EXCEEDED(302, 504),
    /** The upstream rejected the request as invalid. */
    UPSTREAM_REJECTED(303, 422),
    /** A step before the request failed; the request itself has not run. */
    STEP_FAILED(304, 503),
    /** The upstreams that were tried are at capacity; none has run the request. */
    UPSTREAM_FULL(305, 503),
    /** No upstream of the version that began the interrupted stream is available, or that version is not known. */
    STREAM_NOT_RESUMABLE(306, 503),
    /** Upstreams have crashed under prompts with the same segment; the request has not been sent to any. */
    PROMPT_QUARANTINED(307, 503),
    /** Upstreams have crashed under earlier tries of the same request; this one has not been sent to any. */
    REQUEST_QUARANTINED(308, 503),
    /** The outcome of a non-idempotent call is unknown. */
    OUTCOME_UNKNOWN(400, 502),
    /** The key is older than the retention of the log. */
    KEY_TOO_OLD(401, 410),
    /** The key was already used with another body. */
    KEY_REUSED(402, 422),
    /** A request with the same key is in progress. */
    KEY_IN_PROGRESS(403, 409),
    /** The log service is required but not reachable. */
    LOG_UNAVAILABLE(500, 503),
    /** The node is shutting down. */
    SHUTTING_DOWN(501, 503),
    /** The node is partitioned and cannot receive configuration changes. */
    NODE_CUT_OFF(502, 503),
    /** The change is based on a version that is no longer the latest. */
    CHANGE_CROSSED(503, 409),
    /** The node has not loaded the complete configuration yet. */
    NOT_READY(504, 503),
    /** An internal error of the node. */
    INTERNAL(599, 500);

    private final int number;
    private final int status;

    ResultCode(int number, int status) {
        this.number = number;
        this.status = status;
    }

    /** The number that is returned to the caller. */
    public int number() {
        return number;
    }

    /** The corresponding HTTP status. */
    public int status() {
        return status;
    }
}
