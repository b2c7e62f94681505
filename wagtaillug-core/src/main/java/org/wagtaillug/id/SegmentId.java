package org.wagtaillug.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a segment of prompts that several requests may share, or the whole content of a request, which only its retries
 * share. Callers choose the ids of segments.
 *
 * @param value 1 to 64 characters, not blank
 */
public record SegmentId(String value) implements Comparable<SegmentId> {
    /** Maximum length of the value. */
    public static final int MAX_LENGTH = 64;

    private static final String CONTENT_PREFIX = "content:";

    private static final int CONTENT_DIGEST_LENGTH = 24;

    /** Validates the value. */
    public SegmentId {
        value = IdText.validated("SegmentId", value);
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "SegmentId has " + value.length() + " characters; expected at most " + MAX_LENGTH);
        }
    }

    /**
     * Creates the id of a segment whose caller may have chosen any text: a digest stands for a text that is too long, or that
     * reads like the id of a content.
     */
    public static SegmentId of(String chosen) {
        boolean valid = chosen.length() <= MAX_LENGTH && !chosen.startsWith(CONTENT_PREFIX);
        return new SegmentId(valid ? chosen : digest(chosen));
    }

    /** Creates the id of the whole content of a request from a text that describes it. */
    public static SegmentId ofContent(String description) {
        return new SegmentId(CONTENT_PREFIX + digest(description).substring(0, CONTENT_DIGEST_LENGTH));
    }

    /** Whether this is the whole content of a request. */
    public boolean isContent() {
        return value.startsWith(CONTENT_PREFIX);
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
