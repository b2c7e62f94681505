package org.wagtaillug.result;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Bytes that the decisions pass on without looking inside: a JSON value in UTF-8. Never changed after construction. */
public final class Payload {
    /** No bytes. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Wraps bytes that the caller gives up: they are not copied. */
    public static Payload wrap(byte[] bytes) {
        return new Payload(bytes);
    }

    /** Encodes text as UTF-8. */
    public static Payload of(String text) {
        return new Payload(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The bytes themselves; not to be changed. */
    public byte[] bytes() {
        return bytes;
    }

    /** The number of bytes. */
    public int size() {
        return bytes.length;
    }

    /** The bytes read as UTF-8. */
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
