package org.wagtaillug.contract;

/** How a stage's upstreams are called. */
public enum StageWork {
    /** A transformation: takes one JSON value and returns another. */
    TRANSFORM,
    /** Generation by a model engine: takes a prompt and returns a stream of tokens. */
    GENERATE,
    /** A call of a single operation of a service. */
    CALL
}
