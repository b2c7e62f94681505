package org.wagtaillug.daemon.tunnel;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;

/** Reads the contents of the frames of a tunnel from a non-blocking channel. Not thread-safe. */
public final class FrameReader {
    private final ByteBuffer header = ByteBuffer.allocate(Integer.BYTES);
    private int remaining;
    private boolean ended;

    /**
     * Reads into a buffer.
     *
     * @return the number of bytes; 0 if none are available now, -1 after the orderly end of the upstream's connection
     * @throws EOFException if the tunnel has ended before that
     */
    public int read(ReadableByteChannel channel, ByteBuffer buffer) throws IOException {
        if (!ended && remaining == 0 && !readHeader(channel)) {
            return 0;
        }
        if (ended) {
            return -1;
        }
        int limit = buffer.limit();
        buffer.limit(Math.min(limit, buffer.position() + remaining));
        int count = channel.read(buffer);
        buffer.limit(limit);
        if (count < 0) {
            throw new EOFException("the tunnel ended before the connection of the upstream");
        }
        remaining -= count;
        return count;
    }

    /** Reads the length of the next frame; returns false if it is not complete yet. */
    private boolean readHeader(ReadableByteChannel channel) throws IOException {
        if (channel.read(header) < 0) {
            throw new EOFException("the tunnel ended before the connection of the upstream");
        }
        if (header.hasRemaining()) {
            return false;
        }
        remaining = header.flip().getInt();
        header.clear();
        ended = remaining == 0;
        if (remaining < 0) {
            throw new IOException("frame of " + remaining + " bytes; expected at least 0");
        }
        return true;
    }
}
