package org.wagtaillug.daemon.routed;

/** What a log line says of a failed exchange. */
final class FaultText {
    /** Libraries add the state of their connections, some hundred characters that repeat with every line. */
    private static final int LONGEST = 120;

    private FaultText() {}

    /** The kind of the fault and the beginning of its message. */
    static String of(Throwable fault) {
        if (fault == null) {
            return "no answer";
        }
        String message = String.valueOf(fault.getMessage());
        boolean whole = message.length() <= LONGEST;
        return fault.getClass().getSimpleName() + ": " + (whole ? message : message.substring(0, LONGEST) + "...");
    }
}
