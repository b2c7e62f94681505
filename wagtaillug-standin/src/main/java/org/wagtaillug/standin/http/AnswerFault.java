package org.wagtaillug.standin.http;

/** A fault that affects a single answer. */
public enum AnswerFault {
    /** The answer is sent unchanged. */
    NONE,
    /** The call takes effect, but its answer is never sent and the connection stays open. */
    LOST,
    /** The answer carries the ids of another request. */
    WRONG,
    /** The connection is closed after half of the answer. */
    CUT
}
