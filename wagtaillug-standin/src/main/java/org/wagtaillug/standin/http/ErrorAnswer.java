package org.wagtaillug.standin.http;

/**
 * The body of an error answer.
 *
 * @param error the error message
 */
public record ErrorAnswer(String error) {}
