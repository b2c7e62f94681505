package org.wagtaillug.daemon.translation;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.wagtaillug.serving.SendOrder;

/** Writes requests to upstreams and reads the heads of their answers. Never throws. */
public interface UpstreamTranslation {
    /**
     * Writes the head of a request.
     *
     * @param caller the caller's head
     * @param order where it goes and with what
     * @param left the time that is left of its deadline
     * @param out gets the whole head, except what concerns one connection only
     */
    void write(HttpFields caller, SendOrder order, Duration left, HttpFields.Mutable out);

    /** Whether an answer says that the request was not run and will not be. */
    boolean notRun(int status, HttpFields head);

    /** The request that an answer says it is for; empty if it does not say. */
    Optional<String> answeredRequest(HttpFields head);

    /** Whether a good answer bears the sign that it is the upstream's own. */
    boolean authentic(HttpFields head);
}
