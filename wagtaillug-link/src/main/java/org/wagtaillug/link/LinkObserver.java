package org.wagtaillug.link;

import org.wagtaillug.id.VmId;

/** Is notified of opened and closed connections to peers. Called on the link's event loop thread; must not block. */
public interface LinkObserver {
    /** Ignores all notifications. */
    LinkObserver NONE = new LinkObserver() {
        @Override
        public void connected(VmId peer) {}

        @Override
        public void disconnected(VmId peer) {}
    };

    /** A connection to a peer was opened. */
    void connected(VmId peer);

    /** The connection to a peer was closed, or an attempt to open it failed. */
    void disconnected(VmId peer);
}
