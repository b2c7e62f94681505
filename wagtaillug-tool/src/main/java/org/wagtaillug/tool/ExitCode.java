package org.wagtaillug.tool;

/** The exit codes of the process; scripts rely on them. */
enum ExitCode {
    /** The command succeeded completely. */
    OK(0),
    /** The command failed or was refused, or its outcome is unknown. */
    FAILED(1),
    /** The command line is invalid. */
    USAGE(2);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
