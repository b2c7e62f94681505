package org.wagtaillug.quarantine;

import io.vavr.control.Either;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.wagtaillug.id.SegmentId;

/**
 * Encodes and decodes records of the quarantine feed: a line with the format version; a line with the revision, the state, the
 * number of crashes, the number of trials and the age in milliseconds, separated by tabs; then a line for each segment, which is
 * percent-encoded.
 */
public final class QuarantineRecord {
    private static final String FORMAT = "1";
    private static final String SEPARATOR = "\t";
    private static final String QUARANTINED = "quarantined";
    private static final String LIFTED = "lifted";
    private static final int FIELDS = 5;
    private static final int FIRST_SEGMENT = 2;

    private QuarantineRecord() {}

    /** The key of the record of an entry: a digest of its segments. */
    public static String key(Set<SegmentId> segments) {
        return SegmentId.of("-".repeat(SegmentId.MAX_LENGTH) + new TreeSet<>(segments))
                .value();
    }

    /** Encodes an entry as the value of a record. */
    public static byte[] encode(QuarantineEntry entry) {
        String fields = String.join(
                SEPARATOR,
                Integer.toString(entry.revision()),
                entry.quarantined() ? QUARANTINED : LIFTED,
                Integer.toString(entry.crashes()),
                Integer.toString(entry.trials()),
                Long.toString(entry.age().toMillis()));
        StringBuilder text = new StringBuilder(FORMAT).append('\n').append(fields);
        for (SegmentId segment : new TreeSet<>(entry.segments())) {
            text.append('\n').append(URLEncoder.encode(segment.value(), StandardCharsets.UTF_8));
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes the value of a record; the left value describes the error. */
    public static Either<String, QuarantineEntry> decode(byte[] value) {
        List<String> lines = List.of(new String(value, StandardCharsets.UTF_8).split("\n", -1));
        if (!lines.getFirst().equals(FORMAT)) {
            return Either.left("found the format \"" + lines.getFirst() + "\"; expected \"" + FORMAT + "\"");
        }
        if (lines.size() <= FIRST_SEGMENT) {
            return Either.left("found no segment; expected one or more");
        }
        String[] fields = lines.get(1).split(SEPARATOR, -1);
        if (fields.length < FIELDS) {
            return Either.left("found " + fields.length + " fields; expected " + FIELDS);
        }
        try {
            Set<SegmentId> segments = new HashSet<>();
            for (String line : lines.subList(FIRST_SEGMENT, lines.size())) {
                segments.add(new SegmentId(URLDecoder.decode(line, StandardCharsets.UTF_8)));
            }
            return Either.right(new QuarantineEntry(
                    segments,
                    Integer.parseInt(fields[0]),
                    fields[1].equals(QUARANTINED),
                    Integer.parseInt(fields[2]),
                    Integer.parseInt(fields[3]),
                    Duration.ofMillis(Long.parseLong(fields[4]))));
        } catch (IllegalArgumentException invalid) {
            return Either.left(String.valueOf(invalid.getMessage()));
        }
    }
}
