package org.wagtaillug.standin.http;

/** How one answer is spoiled. */
public enum AnswerFault {
    /** The answer goes out as it should. */
    NONE,
    /** The call takes effect, its answer never comes and the connection stays open. */
    LOST,
    /** The answer carries another request's ids. */
    WRONG,
    /** The answer ends in the middle and the connection is closed. */
    CUT
}
