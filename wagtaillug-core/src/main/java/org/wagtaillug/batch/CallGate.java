package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.notice.UpstreamNotice;

/** Decides which stage servers may be called, and observes the calls. */
public interface CallGate {
    /** Allows every call. */
    CallGate OPEN = new CallGate() {
        @Override
        public boolean allows(Listing server) {
            return true;
        }

        @Override
        public boolean preferred(Listing server) {
            return false;
        }

        @Override
        public void onCall(Listing server) {}

        @Override
        public void onCallEnded(Listing server, boolean failed, Duration took, Duration expected) {}
    };

    /** Whether a server may be called now. */
    boolean allows(Listing server);

    /** Whether an allowed server takes precedence over the others. */
    boolean preferred(Listing server);

    /** Whether a request to a server may be sent now. An allowed server for which it may not is called later. */
    default boolean ready(Listing server, Instant now) {
        return true;
    }

    /** The highest rate of requests to a server, per second. */
    default double rate(Listing server, Instant now) {
        return Double.POSITIVE_INFINITY;
    }

    /** The time until a server that wants a pause may get requests again; zero if it wants none. */
    default Duration pause(Listing server, Instant now) {
        return Duration.ZERO;
    }

    /** Called when a call to a server starts. */
    void onCall(Listing server);

    /** Called when a request to a server is sent: a call or a release. */
    default void onRequest(Listing server, Instant now) {}

    /**
     * Called when a server has answered a call or a release.
     *
     * @param notice what the server announces in the answer
     * @param successful whether the answer is a success
     * @param sentAt when the request was sent
     */
    default void onAnswer(Listing server, UpstreamNotice notice, boolean successful, Instant sentAt, Instant now) {}

    /** Called when a server has rejected a call for lack of room. */
    default void onRejected(Listing server, Instant now) {}

    /**
     * Called when a call ends that the server did not refuse.
     *
     * @param failed whether the call or any of its items failed
     * @param took the duration of the call
     * @param expected the expected duration
     */
    void onCallEnded(Listing server, boolean failed, Duration took, Duration expected);
}
