package org.wagtaillug.daemon.translation;

import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.batch.BatchCallEnd;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.notice.UpstreamNotice;

/** Encodes calls to stage servers and decodes their answers. Never throws. */
public interface StageTranslation {
    /** Path of the requests that carry calls. */
    String callPath();

    /** Encodes the body of a call. */
    byte[] encodeCall(BatchCall call);

    /** Decodes the answer to a call. */
    BatchCallEnd decodeAnswer(BatchCall call, int status, HttpFields head, byte[] body);

    /** What the server announces in an answer; empty if that is unreadable, or if another server at its address answers. */
    Optional<UpstreamNotice> notice(int status, HttpFields head);

    /** Path of the requests that carry releases. */
    String releasePath();

    /** Encodes the body of a release. */
    byte[] encodeRelease(List<String> handles);

    /**
     * Adds the intended upstream to the headers, so that another one at the same address does not execute the request, and
     * the id by which its answer is recognized.
     */
    void addHeaders(Listing upstream, String id, HttpFields.Mutable out);

    /** Id of the request that an answer names as its own; empty if it names none. */
    Optional<String> answeredRequest(HttpFields head);
}
