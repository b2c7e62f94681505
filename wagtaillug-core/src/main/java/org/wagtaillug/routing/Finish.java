package org.wagtaillug.routing;

/** What an ended attempt says of its upstream. */
public enum Finish {
    /** The whole answer came. */
    SUCCEEDED,
    /** The connection failed, broke or fell silent, or the answer was wrong. */
    FAILED,
    /** It was given up for a reason that is not the upstream's. */
    CANCELLED,
    /** The upstream refused it as too much. */
    OVERLOADED
}
