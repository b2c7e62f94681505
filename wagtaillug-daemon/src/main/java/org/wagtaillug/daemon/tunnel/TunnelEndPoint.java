package org.wagtaillug.daemon.tunnel;

/** A connection that carries the answers of an upstream in the frames of a tunnel once that is open. */
public interface TunnelEndPoint {
    /** From now on, all bytes that are received come in frames. */
    void startFrames();
}
