package org.wagtaillug.link;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.DateTimeException;
import org.wagtaillug.link.generated.LogRecordMessage;
import org.wagtaillug.log.LogRecord;

/**
 * Encodes and decodes the records that the log service stores.
 *
 * <pre>{@code
 * byte[] bytes = codec.encode(change);
 * LogRecord back = codec.decode(bytes);
 * }</pre>
 */
public final class LogRecordCodec {
    /**
     * Encodes a record. Equal records have equal encodings. {@link LogRecord.Unreadable} has no content and encodes
     * to an empty array.
     */
    public byte[] encode(LogRecord record) {
        LogRecordMessage.Builder message = LogRecordMessage.newBuilder();
        switch (record) {
            case LogRecord.Change change -> message.setChange(ControlCodec.encode(change));
            case LogRecord.RosterChange change -> message.setRosterChange(ControlCodec.encode(change));
            case LogRecord.SnapshotPart part -> message.setSnapshotPart(ControlCodec.encode(part));
            case LogRecord.ClaimBatch batch -> message.setClaimBatch(ClaimCodec.encode(batch));
            case LogRecord.Unreadable ignored -> {
                return new byte[0];
            }
        }
        return message.build().toByteArray();
    }

    /** Decodes a record; returns {@link LogRecord.Unreadable} for bytes that are not a valid record. Never throws. */
    public LogRecord decode(byte[] bytes) {
        try {
            return decode(LogRecordMessage.parseFrom(bytes), bytes.length);
        } catch (InvalidProtocolBufferException
                | IllegalArgumentException
                | ArithmeticException
                | DateTimeException exception) {
            // Another program or a newer version may write to the stream; its record must not stop every node.
            return new LogRecord.Unreadable(bytes.length);
        }
    }

    private static LogRecord decode(LogRecordMessage message, int size) {
        return switch (message.getKindCase()) {
            case CHANGE -> ControlCodec.decode(message.getChange());
            case ROSTER_CHANGE -> ControlCodec.decode(message.getRosterChange());
            case SNAPSHOT_PART -> ControlCodec.decode(message.getSnapshotPart());
            case CLAIM_BATCH -> ClaimCodec.decode(message.getClaimBatch());
            case KIND_NOT_SET -> new LogRecord.Unreadable(size);
        };
    }
}
