package org.wagtaillug.daemon.translation;

import io.vavr.control.Either;
import org.eclipse.jetty.http.HttpFields;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.serving.RoutedRequest;

/** Decodes the requests of callers and encodes refusals in the format that callers expect. Never throws. */
public interface CallerTranslation {
    /**
     * Decodes the header of a request.
     *
     * @param host the host as named by the caller
     * @param path the path with the query, as sent
     * @return the request, or the refusal of an invalid one
     */
    Either<Refusal, RoutedRequest> read(String host, String path, HttpFields head);

    /** Adds the retry delay, and other headers that callers evaluate, to a refusal. */
    void addRefusalHeaders(Refusal refusal, HttpFields head, HttpFields.Mutable out);
}
