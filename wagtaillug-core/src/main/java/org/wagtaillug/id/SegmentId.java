package org.wagtaillug.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a segment of prompts that several requests may share. Callers choose the ids of segments.
 *
 * @param value 1 to 64 characters, not blank
 */
public record SegmentId(String value) implements Comparable<SegmentId> {
    /** Maximum length of the value. */
    public static final int MAX_LENGTH = 64;

    /** Validates the value. */
    public SegmentId {
        value = IdText.validated("SegmentId", value);
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "SegmentId has " + value.length() + " characters; expected at most " + MAX_LENGTH);
        }
    }

    /** Creates the id of a segment whose caller may have chosen an id of any length: a digest stands for a longer one. */
    public static SegmentId of(String chosen) {
        return new SegmentId(chosen.length() <= MAX_LENGTH ? chosen : digest(chosen));
    }

    private static String digest(String text) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("each Java platform has SHA-256", impossible);
        }
    }

    @Override
    public int compareTo(SegmentId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
