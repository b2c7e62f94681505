package org.wagtaillug.stream;

import io.vavr.control.Either;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.id.PoolId;

/**
 * Encodes and decodes the record of the versions at which pools have served recently: a line with the format version, then
 * a line for each pool and version, percent-encoded and separated by a tab.
 */
public final class PoolVersionsRecord {
    private static final String FORMAT = "1";
    private static final String SEPARATOR = "\t";
    private static final int FIELDS = 2;

    private PoolVersionsRecord() {}

    /** Encodes versions as the value of a record. */
    public static byte[] encode(Map<PoolId, Set<VersionKey>> versions) {
        Set<String> lines = new TreeSet<>();
        versions.forEach((pool, ofPool) -> {
            for (VersionKey version : ofPool) {
                lines.add(escape(pool.value()) + SEPARATOR + escape(version.value()));
            }
        });
        StringBuilder text = new StringBuilder(FORMAT);
        lines.forEach(line -> text.append('\n').append(line));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes the value of a record; the left value describes the error. */
    public static Either<String, Map<PoolId, Set<VersionKey>>> decode(byte[] value) {
        String[] lines = new String(value, StandardCharsets.UTF_8).split("\n", -1);
        if (!lines[0].equals(FORMAT)) {
            return Either.left("found the format \"" + lines[0] + "\"; expected \"" + FORMAT + "\"");
        }
        Map<PoolId, Set<VersionKey>> versions = new HashMap<>();
        try {
            for (int line = 1; line < lines.length; line++) {
                String[] fields = lines[line].split(SEPARATOR, -1);
                if (fields.length < FIELDS) {
                    return Either.left("found " + fields.length + " fields of a version; expected " + FIELDS);
                }
                versions.computeIfAbsent(new PoolId(unescape(fields[0])), pool -> new HashSet<>())
                        .add(new VersionKey(unescape(fields[1])));
            }
        } catch (IllegalArgumentException invalid) {
            return Either.left(String.valueOf(invalid.getMessage()));
        }
        return Either.right(versions);
    }

    private static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static String unescape(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
