package org.wagtaillug.daemon.routed;

/** Describes a failed exchange for a log line. */
final class FailureText {
    /** Libraries append the state of their connections, some hundred characters that are the same in every line. */
    private static final int MAX_MESSAGE_LENGTH = 120;

    private FailureText() {}

    /** The class of the exception and the beginning of its message. */
    static String of(Throwable fault) {
        if (fault == null) {
            return "no answer";
        }
        String message = String.valueOf(fault.getMessage());
        boolean complete = message.length() <= MAX_MESSAGE_LENGTH;
        return fault.getClass().getSimpleName() + ": "
                + (complete ? message : message.substring(0, MAX_MESSAGE_LENGTH) + "...");
    }
}
