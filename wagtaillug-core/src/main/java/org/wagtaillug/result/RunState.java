package org.wagtaillug.result;

/** What a caller can assume about the execution of its request after a refusal. */
public enum RunState {
    /** It took effect. */
    RUN("run"),
    /** It had no effect and never will. */
    NOT_RUN("not-run"),
    /** It may have taken effect or may still do so. */
    UNKNOWN("unknown");

    private final String text;

    RunState(String text) {
        this.text = text;
    }

    /** The representation on the wire and in logs. */
    public String text() {
        return text;
    }
}
