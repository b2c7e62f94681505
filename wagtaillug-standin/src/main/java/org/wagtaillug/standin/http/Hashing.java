package org.wagtaillug.standin.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 hashes of texts, identical in every process. */
public final class Hashing {
    private static final int SHORT_BYTES = 8;

    private Hashing() {}

    /** Returns the first 64 bits of a text's SHA-256 as a number. */
    public static long number(String text) {
        return ByteBuffer.wrap(digest(text)).getLong();
    }

    /** Returns the first 64 bits of a text's SHA-256 as 16 hexadecimal digits. */
    public static String hexadecimal(String text) {
        return HexFormat.of().formatHex(digest(text), 0, SHORT_BYTES);
    }

    private static byte[] digest(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException unavailable) {
            throw new IllegalStateException("every Java runtime has SHA-256", unavailable);
        }
    }
}
