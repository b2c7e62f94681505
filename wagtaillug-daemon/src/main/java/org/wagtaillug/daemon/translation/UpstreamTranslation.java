package org.wagtaillug.daemon.translation;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.serving.SendOrder;

/** Encodes requests to upstreams and decodes the headers of their answers. Never throws. */
public interface UpstreamTranslation {
    /**
     * Writes the headers of a request.
     *
     * @param caller the headers of the caller
     * @param order the target and the content of the request
     * @param left the time left until the deadline
     * @param out receives all headers except hop-by-hop headers
     */
    void write(HttpFields caller, SendOrder order, Duration left, HttpFields.Mutable out);

    /** Writes the headers of a request that every upstream answers and none executes. */
    void writeProbe(HttpFields.Mutable out);

    /** Whether an answer states that the request was not executed and will not be. */
    boolean notRun(int status, HttpFields head);

    /** Id of the request that an answer names as its own; empty if it names none. */
    Optional<String> answeredRequest(HttpFields head);

    /** Whether a successful answer carries the signature of the upstream. */
    boolean authentic(HttpFields head);

    /** What the upstream announces in an answer; empty if that is unreadable, or if another upstream at its address answers. */
    Optional<UpstreamNotice> notice(int status, HttpFields head);
}
