package org.wagtaillug.daemon.routed;

import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/** Drops the interim answers before a final one, up to a limit; a further one is passed on as an invalid final answer. */
final class InterimAnswers extends ProcessingProtocolHandler {
    private static final int MAX_COUNT = 16;
    private static final String COUNT_ATTRIBUTE = InterimAnswers.class.getName();

    @Override
    public String getName() {
        return "interim-answers";
    }

    @Override
    public boolean accept(Request request, Response response) {
        if (!HttpStatus.isInterim(response.getStatus())) {
            return false;
        }
        int count = (int) request.getAttributes().getOrDefault(COUNT_ATTRIBUTE, 0) + 1;
        request.attribute(COUNT_ATTRIBUTE, count);
        return count <= MAX_COUNT;
    }
}
