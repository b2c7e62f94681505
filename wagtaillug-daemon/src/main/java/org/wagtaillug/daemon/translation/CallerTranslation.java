package org.wagtaillug.daemon.translation;

import io.vavr.control.Either;
import org.eclipse.jetty.http.HttpFields;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.serving.RoutedRequest;

/** Reads what callers send, and writes refusals in words that callers understand. Never throws. */
public interface CallerTranslation {
    /**
     * Reads the head of a request.
     *
     * @param host as the caller named it
     * @param path with the query, as it was sent
     * @return the request, or what is wrong with it
     */
    Either<Refusal, RoutedRequest> read(String host, String path, HttpFields head);

    /** Adds to the head of a refusal when to come back, and whatever else callers look for. */
    void refuse(Refusal refusal, HttpFields head, HttpFields.Mutable out);
}
