package org.wagtaillug.standin.http;

/**
 * The ids that an answer carries.
 *
 * @param request the request's id
 * @param attempt the id of this attempt at it
 */
public record RequestIds(String request, String attempt) {
    /** Returns the ids of a request that was never sent here. */
    RequestIds ofAnother() {
        return new RequestIds("another-" + request, "another-" + attempt);
    }
}
