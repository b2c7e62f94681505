package org.wagtaillug.standin.http;

/**
 * The ids in an answer.
 *
 * @param request the request's id
 * @param attempt the attempt's id
 */
public record RequestIds(String request, String attempt) {
    /** Returns ids that belong to no request sent to this stand-in. */
    RequestIds ofOtherRequest() {
        return new RequestIds("another-" + request, "another-" + attempt);
    }
}
