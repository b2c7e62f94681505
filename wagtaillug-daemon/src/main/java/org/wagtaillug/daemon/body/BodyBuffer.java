package org.wagtaillug.daemon.body;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The bytes of a body that have been received, within the memory that is reserved for it. Thread-safe. */
final class BodyBuffer {
    private final BodyMemory.Reservation reservation;
    private final long declaredLength;
    private final List<byte[]> parts = new ArrayList<>();
    private long length;
    private boolean discarded;

    /**
     * Creates an empty buffer.
     *
     * @param declaredLength the declared length of the body; -1 if it is sent in chunks
     */
    BodyBuffer(BodyMemory.Reservation reservation, long declaredLength) {
        this.reservation = reservation;
        this.declaredLength = declaredLength;
    }

    /** Reserves memory for the declared length; returns whether there is room. */
    synchronized boolean reserveDeclared() {
        return declaredLength <= 0 || reservation.resize(declaredLength);
    }

    synchronized long length() {
        return length;
    }

    /** Adds bytes; returns whether there is room for them. Once the buffer is discarded, they are ignored. */
    synchronized boolean append(ByteBuffer bytes) {
        if (discarded || !bytes.hasRemaining()) {
            return true;
        }
        long extended = length + bytes.remaining();
        // Joining the parts takes as much again.
        if (extended > declaredLength && !reservation.resize(2 * extended)) {
            return false;
        }
        if (parts.isEmpty() && declaredLength > 0) {
            parts.add(new byte[Math.toIntExact(declaredLength)]);
        }
        if (extended <= declaredLength) {
            bytes.get(parts.getFirst(), Math.toIntExact(length), bytes.remaining());
        } else {
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            parts.add(part);
        }
        length = extended;
        return true;
    }

    /** Drops the bytes and releases their memory. */
    synchronized void discard() {
        discarded = true;
        parts.clear();
        reservation.close();
    }

    /** Returns the whole body and drops the parts; its memory stays reserved. */
    synchronized byte[] takeBytes() {
        if (length == 0) {
            return new byte[0];
        }
        if (parts.size() == 1 && parts.getFirst().length == length) {
            return parts.removeFirst();
        }
        byte[] joined = new byte[Math.toIntExact(length)];
        int position = 0;
        for (byte[] part : parts) {
            int count = Math.min(part.length, joined.length - position);
            System.arraycopy(part, 0, joined, position, count);
            position += count;
        }
        parts.clear();
        reservation.resize(length);
        return joined;
    }
}
