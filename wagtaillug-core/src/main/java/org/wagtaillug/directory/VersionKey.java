package org.wagtaillug.directory;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a version of the software of upstreams: its text, or a digest of a long text, as upstreams choose it freely.
 *
 * @param value at most {@value #MAX_LENGTH} characters
 */
public record VersionKey(String value) {
    private static final int MAX_LENGTH = 64;

    /** The key of a version as it is listed in the directory. */
    public static VersionKey of(String version) {
        return new VersionKey(version.length() < MAX_LENGTH ? version : digest(version));
    }

    private static String digest(String version) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(version.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
