package org.wagtaillug.tool;

/** The exit codes; scripts rely on them. */
enum ExitCode {
    /** All that was asked for is so. */
    OK(0),
    /** It failed, was refused, or is not known to be so. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
