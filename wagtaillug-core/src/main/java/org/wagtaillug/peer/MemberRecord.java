package org.wagtaillug.peer;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;

/**
 * Encodes and decodes the value of a member's record in the membership feed: format version, failure domain and
 * capacity, separated by tabs.
 */
public final class MemberRecord {
    private static final String VERSION = "1";
    private static final String SEPARATOR = "\t";
    private static final int FIELDS = 3;

    private MemberRecord() {}

    /** Encodes a member as the value of its record. */
    public static byte[] encode(Member member) {
        String text = String.join(SEPARATOR, VERSION, member.domain().value(), Double.toString(member.capacity()));
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a record; the left value describes the error. Additional fields, as appended by newer versions, are
     * ignored.
     */
    public static Either<String, Member> decode(String key, byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        if (fields.length < FIELDS || !fields[0].equals(VERSION)) {
            return Either.left("found " + fields.length + " fields, the first of them \"" + fields[0] + "\"; expected "
                    + FIELDS + " or more, the first of them \"" + VERSION + "\"");
        }
        try {
            return Either.right(new Member(new VmId(key), new DomainId(fields[1]), Double.parseDouble(fields[2])));
        } catch (IllegalArgumentException invalid) {
            return Either.left(String.valueOf(invalid.getMessage()));
        }
    }
}
