package org.wagtaillug.batch;

import java.time.Duration;
import org.wagtaillug.directory.Listing;

/** Says which stage servers may be called now, and hears of the calls. */
public interface CallGate {
    /** Lets every call pass. */
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

    /** Whether a server that may be called goes before the others. */
    boolean preferred(Listing server);

    /** A server is called. */
    void onCall(Listing server);

    /**
     * A call has ended that the server took.
     *
     * @param failed whether the call broke off or any of its items failed
     * @param took how long it took
     * @param expected how long it should have taken
     */
    void onCallEnded(Listing server, boolean failed, Duration took, Duration expected);
}
