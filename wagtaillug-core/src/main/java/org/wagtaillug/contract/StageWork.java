package org.wagtaillug.contract;

/** How a stage's upstreams are called. */
public enum StageWork {
    /** A stage pool: one JSON value in, one out. */
    TRANSFORM,
    /** A model engine: a prompt in, a stream of tokens out. */
    GENERATE,
    /** A plain service: one operation. */
    CALL
}
