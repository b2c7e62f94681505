package org.wagtaillug.stream;

import io.vavr.control.Either;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/**
 * Encodes and decodes records of the streams feed: a line with the format version, then a line for each origin with the
 * stream, the pool, the version, the milliseconds of its lifetime and, if the sender is known, its id, its incarnation
 * and the milliseconds of its age. Texts are percent-encoded, fields separated by tabs.
 */
public final class StreamOriginRecord {
    private static final String FORMAT = "1";
    private static final String SEPARATOR = "\t";
    private static final int MIN_FIELDS = 4;
    private static final int FIELDS_WITH_SENDER = 7;

    private StreamOriginRecord() {}

    /** Encodes origins as the value of a record. */
    public static byte[] encode(List<StreamOrigin> origins) {
        StringBuilder text = new StringBuilder(FORMAT);
        for (StreamOrigin origin : origins) {
            text.append('\n')
                    .append(escape(origin.stream().value()))
                    .append(SEPARATOR)
                    .append(escape(origin.pool().value()))
                    .append(SEPARATOR)
                    .append(escape(origin.version().value()))
                    .append(SEPARATOR)
                    .append(origin.lifetime().toMillis());
            origin.sender().ifPresent(sender -> text.append(SEPARATOR)
                    .append(escape(sender.upstream().value()))
                    .append(SEPARATOR)
                    .append(sender.incarnation())
                    .append(SEPARATOR)
                    .append(sender.age().toMillis()));
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes the value of a record; the left value describes the error. */
    public static Either<String, List<StreamOrigin>> decode(byte[] value) {
        String[] lines = new String(value, StandardCharsets.UTF_8).split("\n", -1);
        if (!lines[0].equals(FORMAT)) {
            return Either.left("found the format \"" + lines[0] + "\"; expected \"" + FORMAT + "\"");
        }
        List<StreamOrigin> origins = new ArrayList<>();
        try {
            for (int line = 1; line < lines.length; line++) {
                origins.add(decode(lines[line]));
            }
        } catch (IllegalArgumentException invalid) {
            return Either.left(String.valueOf(invalid.getMessage()));
        }
        return Either.right(origins);
    }

    private static StreamOrigin decode(String line) {
        String[] fields = line.split(SEPARATOR, -1);
        if (fields.length < MIN_FIELDS) {
            throw new IllegalArgumentException(
                    "found " + fields.length + " fields of a stream; expected " + MIN_FIELDS + " or more");
        }
        Optional<StreamOrigin.Sender> sender = fields.length >= FIELDS_WITH_SENDER
                ? Optional.of(new StreamOrigin.Sender(
                        new VmId(unescape(fields[4])),
                        Long.parseLong(fields[5]),
                        Duration.ofMillis(Long.parseLong(fields[6]))))
                : Optional.empty();
        return new StreamOrigin(
                new RequestId(unescape(fields[0])),
                new PoolId(unescape(fields[1])),
                new VersionKey(unescape(fields[2])),
                sender,
                Duration.ofMillis(Long.parseLong(fields[3])));
    }

    private static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static String unescape(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
