package org.wagtaillug.batch;

import java.time.Duration;
import org.wagtaillug.directory.Listing;

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

    /** Called when a call to a server starts. */
    void onCall(Listing server);

    /**
     * Called when a call ends that the server did not refuse.
     *
     * @param failed whether the call or any of its items failed
     * @param took the duration of the call
     * @param expected the expected duration
     */
    void onCallEnded(Listing server, boolean failed, Duration took, Duration expected);
}
