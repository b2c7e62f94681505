package org.wagtaillug.standin.http;

/**
 * The body of an error answer.
 *
 * @param error what is wrong, as a sentence
 */
public record ErrorAnswer(String error) {}
