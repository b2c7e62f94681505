package org.wagtaillug.log;

/** The streams that the nodes write. Offsets are per stream, start at 1 and increase by 1. */
public enum LogStream {
    /** Configuration changes, the roster of nodes, and snapshots of both. */
    CONTROL("control"),
    /** Claims of idempotency keys and their outcomes. */
    CLAIMS("claims");

    private final String text;

    LogStream(String text) {
        this.text = text;
    }

    /** The name of the stream on the log service. */
    public String text() {
        return text;
    }
}
