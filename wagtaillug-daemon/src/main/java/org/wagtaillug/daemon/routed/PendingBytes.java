package org.wagtaillug.daemon.routed;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/** Bytes of an answer that wait to be written, in parts, so that each part is freed when it is written. Not thread-safe. */
final class PendingBytes {
    private final Deque<byte[]> parts = new ArrayDeque<>();

    /** Adds bytes as one part. */
    void add(byte[] bytes) {
        if (bytes.length > 0) {
            parts.add(bytes);
        }
    }

    /** Adds bytes in parts of a maximum length. */
    void add(byte[] bytes, int maxLength) {
        if (bytes.length <= maxLength) {
            add(bytes);
            return;
        }
        for (int start = 0; start < bytes.length; start += maxLength) {
            parts.add(Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + maxLength)));
        }
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    void clear() {
        parts.clear();
    }

    /** Removes the first parts that together do not exceed a length, at least one; empty if there is none. */
    byte[] take(int maxLength) {
        int length = 0;
        int count = 0;
        for (byte[] part : parts) {
            if (count > 0 && length + part.length > maxLength) {
                break;
            }
            length += part.length;
            count++;
        }
        if (count == 1) {
            return parts.remove();
        }
        byte[] joined = new byte[length];
        int position = 0;
        for (; count > 0; count--) {
            byte[] part = parts.remove();
            System.arraycopy(part, 0, joined, position, part.length);
            position += part.length;
        }
        return joined;
    }
}
