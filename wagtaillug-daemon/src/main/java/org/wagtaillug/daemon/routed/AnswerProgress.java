package org.wagtaillug.daemon.routed;

import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.AbstractConnection;

/** Tells connections to upstreams and to the store that their answers bring content, which a limit of its own bounds. */
public final class AnswerProgress {
    private AnswerProgress() {}

    /** Records that content of an answer has arrived. */
    public static void onContent(Response response) {
        if (response.getRequest().getConnection() instanceof AbstractConnection connection
                && connection.getEndPoint() instanceof UpstreamEndPoint endPoint) {
            endPoint.onContent();
        }
    }
}
