package org.wagtaillug.link;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.link.generated.AbandonedMessage;
import org.wagtaillug.link.generated.ClaimBatchMessage;
import org.wagtaillug.link.generated.ClaimRecordMessage;
import org.wagtaillug.link.generated.ClaimedMessage;
import org.wagtaillug.link.generated.RunStateMessage;
import org.wagtaillug.link.generated.SettledMessage;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** Converts records of the claims stream to and from protobuf. */
final class ClaimCodec {
    private ClaimCodec() {}

    static ClaimBatchMessage encode(LogRecord.ClaimBatch batch) {
        ClaimBatchMessage.Builder message = ClaimBatchMessage.newBuilder();
        for (ClaimRecord claim : batch.claims()) {
            message.addClaims(encode(claim));
        }
        return message.build();
    }

    /**
     * Decodes a batch. Skips claim records of a kind introduced by a newer program version, so that every node applies
     * the other records of the batch in the same order.
     */
    static LogRecord.ClaimBatch decode(ClaimBatchMessage message) {
        List<ClaimRecord> claims = new ArrayList<>(message.getClaimsCount());
        for (ClaimRecordMessage claim : message.getClaimsList()) {
            String key = claim.getKey();
            String claimId = claim.getClaimId();
            switch (claim.getKindCase()) {
                case CLAIMED -> claims.add(decode(key, claimId, claim.getClaimed()));
                case SETTLED -> claims.add(decode(key, claimId, claim.getSettled()));
                case ABANDONED -> claims.add(new ClaimRecord.Abandoned(key, claimId));
                default -> {
                    continue;
                }
            }
        }
        return new LogRecord.ClaimBatch(List.copyOf(claims));
    }

    private static ClaimRecordMessage encode(ClaimRecord claim) {
        ClaimRecordMessage.Builder message =
                ClaimRecordMessage.newBuilder().setKey(claim.key()).setClaimId(claim.claimId());
        return switch (claim) {
            case ClaimRecord.Claimed claimed ->
                message.setClaimed(ClaimedMessage.newBuilder()
                                .setIssuedAt(TimeCodec.encode(claimed.issuedAt()))
                                .setClaimer(ControlCodec.encode(claimed.claimer()))
                                .setBodyDigest(claimed.bodyDigest()))
                        .build();
            case ClaimRecord.Settled settled ->
                message.setSettled(SettledMessage.newBuilder()
                                .setCode(settled.code().number())
                                .setRun(encode(settled.run()))
                                .setOutput(ByteString.copyFrom(settled.output().bytes())))
                        .build();
            case ClaimRecord.Abandoned ignored ->
                message.setAbandoned(AbandonedMessage.getDefaultInstance()).build();
        };
    }

    private static ClaimRecord.Claimed decode(String key, String claimId, ClaimedMessage message) {
        return new ClaimRecord.Claimed(
                key,
                claimId,
                TimeCodec.decode(message.getIssuedAt()),
                ControlCodec.decode(message.getClaimer()),
                message.getBodyDigest());
    }

    private static ClaimRecord.Settled decode(String key, String claimId, SettledMessage message) {
        Payload output = Payload.wrap(message.getOutput().toByteArray());
        return new ClaimRecord.Settled(key, claimId, decodeCode(message.getCode()), decode(message.getRun()), output);
    }

    /** Maps an unknown code, introduced by a newer program version, to one that only says that the work has ended. */
    private static ResultCode decodeCode(int number) {
        for (ResultCode code : ResultCode.values()) {
            if (code.number() == number) {
                return code;
            }
        }
        return ResultCode.OUTCOME_UNKNOWN;
    }

    private static RunStateMessage encode(RunState run) {
        return switch (run) {
            case RUN -> RunStateMessage.RUN_STATE_RUN;
            case NOT_RUN -> RunStateMessage.RUN_STATE_NOT_RUN;
            case UNKNOWN -> RunStateMessage.RUN_STATE_UNKNOWN;
        };
    }

    private static RunState decode(RunStateMessage run) {
        return switch (run) {
            case RUN_STATE_RUN -> RunState.RUN;
            case RUN_STATE_NOT_RUN -> RunState.NOT_RUN;
            case RUN_STATE_UNKNOWN, RUN_STATE_UNSPECIFIED, UNRECOGNIZED -> RunState.UNKNOWN;
        };
    }
}
