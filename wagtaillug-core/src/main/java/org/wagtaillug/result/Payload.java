package org.wagtaillug.result;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Opaque content that is forwarded without being parsed: a JSON value in UTF-8. Immutable. */
public final class Payload {
    /** An empty payload. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Wraps an array without copying it; the caller must not modify it afterwards. */
    public static Payload wrap(byte[] bytes) {
        return new Payload(bytes);
    }

    /** Encodes text as UTF-8. */
    public static Payload of(String text) {
        return new Payload(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The underlying bytes, which must not be modified. */
    public byte[] bytes() {
        return bytes;
    }

    /** The number of bytes. */
    public int size() {
        return bytes.length;
    }

    /** The bytes decoded as UTF-8. */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Payload[" + bytes.length + " bytes]";
    }
}
