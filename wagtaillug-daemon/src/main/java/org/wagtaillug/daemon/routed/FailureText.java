package org.wagtaillug.daemon.routed;

import java.util.regex.Pattern;
import org.eclipse.jetty.client.HttpRequestException;
import org.eclipse.jetty.client.HttpResponseException;

/** Describes a failed exchange for a log line and for its caller. */
final class FailureText {
    private static final int MAX_MESSAGE_LENGTH = 120;

    /** Libraries append the state of their objects and the addresses of their connections. */
    private static final Pattern OBJECT_STATE =
            Pattern.compile("(?:\\s+(?:on|of|for|to|from|by))?\\s*\\S*(?:@[0-9a-f]{4,}|/\\d+\\.\\d+\\.).*");

    private FailureText() {}

    /** What has failed: in words of its own for a failure of HTTP, otherwise the class of the exception and its message. */
    static String of(Throwable fault) {
        return switch (fault) {
            case null -> "no answer";
            case HttpResponseException ignored -> "the answer is not valid HTTP";
            case HttpRequestException ignored -> "the request was not written to its end";
            default -> describe(fault);
        };
    }

    private static String describe(Throwable fault) {
        String message =
                OBJECT_STATE.matcher(String.valueOf(fault.getMessage())).replaceFirst("");
        boolean complete = message.length() <= MAX_MESSAGE_LENGTH;
        return fault.getClass().getSimpleName() + ": "
                + (complete ? message : message.substring(0, MAX_MESSAGE_LENGTH) + "...");
    }
}
